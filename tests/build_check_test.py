"""Tests of scripts/check-build on small projects that each break one promise."""

import os
import shutil
import subprocess
import sys
import tempfile
import unittest

ROOT = os.path.realpath(os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
sys.path.insert(0, os.path.join(ROOT, "scripts", "lib"))
import build_inputs
import debian_packages

CONFIGURE = "cmake -S . -B target/release -G Ninja"
BUILD = CONFIGURE + " && ninja -C target/release demo"
PACKAGES = ("g++", "cmake", "ninja-build", "libcereal-dev")
CMAKE = """cmake_minimum_required(VERSION 3.25)
project(demo LANGUAGES CXX)
find_package(cereal REQUIRED)
add_executable(demo main.cc)
target_link_libraries(demo PRIVATE cereal::cereal)
"""
MAIN = "#include <cereal/cereal.hpp>\nint main() { return 0; }\n"


class BuildCheckTest(unittest.TestCase):
    def setUp(self):
        self.project = tempfile.mkdtemp()
        self.addCleanup(shutil.rmtree, self.project)

    def write(self, name, text):
        path = os.path.join(self.project, name)
        os.makedirs(os.path.dirname(path), exist_ok=True)
        with open(path, "w") as file:
            file.write(text)

    def check(self, packages=PACKAGES, build=BUILD, cmake=CMAKE, main=MAIN,
              uncommitted=None):
        """Runs the check on a project; returns its exit code and output."""
        listed = ", ".join(f'"{name}"' for name in packages)
        self.write("deploy/system.toml", f"build = '''{build}'''\npackages = [{listed}]\n"
                   '[roles.entry]\nrun = "target/release/demo host"\n')
        self.write("CMakeLists.txt", cmake)
        self.write("main.cc", main)
        for command in (["init", "-q"], ["add", "--all"]):
            subprocess.run(["git", *command], cwd=self.project, check=True)
        if uncommitted:
            self.write(*uncommitted)
        done = subprocess.run(
            [sys.executable, os.path.join(ROOT, "scripts", "check-build"),
             "--source", self.project], capture_output=True, text=True)
        return done.returncode, done.stdout + done.stderr

    def assert_unlisted(self, outcome, *words):
        code, output = outcome
        self.assertEqual(code, 1, output)
        lines = [line for line in output.splitlines() if line.startswith("unlisted:")]
        self.assertTrue(any(all(word in line for word in words) for line in lines), output)

    def assert_unable(self, outcome, words):
        code, output = outcome
        self.assertEqual(code, 2, output)
        self.assertIn("unable to look", output)
        self.assertIn(words, output)

    def test_passes_when_all_is_listed(self):
        code, output = self.check()
        self.assertEqual(code, 0, output)
        self.assertIn("0 unlisted", output)

    def test_fails_for_each_package_taken_out(self):
        expected = {"g++": "cc1plus", "cmake": "/usr/bin/cmake",
                    "ninja-build": "/usr/bin/ninja",
                    "libcereal-dev": "/usr/include/cereal/cereal.hpp"}
        for package, path in expected.items():
            with self.subTest(package=package):
                remaining = [name for name in PACKAGES if name != package]
                self.assert_unlisted(self.check(packages=remaining), path)

    def test_fails_for_an_unlisted_header(self):
        main = MAIN + "#include <cppunit/Portability.h>\n"
        self.assert_unlisted(self.check(main=main), "kind=compile",
                             "cppunit/Portability.h", "package=libcppunit-dev")

    def test_fails_for_an_unlisted_library_that_is_found_and_not_used(self):
        cmake = CMAKE + "find_library(CPPUNIT cppunit REQUIRED)\n"
        self.assert_unlisted(self.check(cmake=cmake), "kind=configure",
                             "libcppunit.so", "package=libcppunit-dev")

    def test_fails_for_an_unlisted_library_on_the_link_line(self):
        cmake = CMAKE + "target_link_libraries(demo PRIVATE cppunit)\n"
        self.assert_unlisted(self.check(cmake=cmake), "kind=link",
                             "libcppunit", "package=libcppunit-1.15-0")

    def test_fails_for_an_unlisted_program_that_cmake_probed(self):
        cmake = CMAKE + "find_package(Git)\n"
        self.assert_unlisted(self.check(cmake=cmake), "kind=configure",
                             "/usr/bin/git", "package=git")

    def test_fails_for_an_unlisted_program_in_the_build_text(self):
        build = f"git --version && {BUILD}"
        self.assert_unlisted(self.check(build=build), "kind=tool", "/usr/bin/git")

    def test_fails_for_a_header_of_no_package(self):
        with tempfile.TemporaryDirectory() as directory:
            with open(os.path.join(directory, "stray.h"), "w"):
                cmake = CMAKE + f"target_include_directories(demo PRIVATE {directory})\n"
            outcome = self.check(cmake=cmake, main=MAIN + "#include <stray.h>\n")
        self.assert_unlisted(outcome, "stray.h", "package=none")

    def test_fails_when_the_build_fails(self):
        code, output = self.check(cmake=CMAKE + "find_library(NONE no_such REQUIRED)\n")
        self.assertEqual(code, 1, output)
        self.assertIn("the build failed", output)

    def test_fails_when_the_build_needs_a_file_that_git_does_not_hold(self):
        main = MAIN + '#include "local.h"\n'
        code, output = self.check(main=main, uncommitted=("local.h", ""))
        self.assertEqual(code, 1, output)
        self.assertIn("local.h", output)

    def test_fails_when_the_build_writes_outside_target(self):
        code, output = self.check(build=BUILD + " && touch stray")
        self.assertEqual(code, 1, output)
        self.assertIn("outside target/", output)

    def test_unable_to_look_without_header_lists(self):
        build = BUILD + " && rm target/release/.ninja_deps"
        self.assert_unable(self.check(build=build), "no header list")

    def test_unable_to_look_without_a_list_of_what_cmake_read(self):
        build = BUILD + " && rm -r target/release/.cmake"
        self.assert_unable(self.check(build=build), "files that CMake read")

    def test_unable_to_look_without_the_cache(self):
        build = BUILD + " && rm target/release/CMakeCache.txt"
        self.assert_unable(self.check(build=build), "CMakeCache.txt")

    def test_unable_to_look_when_ninja_did_not_build(self):
        build = CONFIGURE + " && g++ main.cc -o target/release/demo"
        self.assert_unable(self.check(build=build), "no header list")

    def test_unable_to_look_when_a_listed_package_is_not_installed(self):
        self.assert_unable(self.check(packages=(*PACKAGES, "no-such-package")),
                           "no-such-package")


class DebianPackagesTest(unittest.TestCase):
    def package(self, name, depends="", provides=()):
        return debian_packages.Package(
            name, False, debian_packages.parse_depends(depends), frozenset(provides))

    def table(self, *packages):
        return {package.name: package for package in packages}

    def test_closure_follows_dependencies_without_versions(self):
        packages = self.table(self.package("a", "b (>= 1), c:any"), self.package("b"),
                              self.package("c", "a"), self.package("d"))
        self.assertEqual(debian_packages.closure(["a"], packages), {"a", "b", "c"})

    def test_only_the_first_alternative_counts(self):
        packages = self.table(self.package("a", "b | c"), self.package("b"),
                              self.package("c"))
        self.assertEqual(debian_packages.closure(["a"], packages), {"a", "b"})

    def test_a_virtual_package_with_two_providers_allows_neither(self):
        packages = self.table(self.package("a", "v"), self.package("b", "", ["v"]),
                              self.package("c", "", ["v"]))
        self.assertEqual(debian_packages.closure(["a"], packages), {"a"})

    def test_unable_to_look_without_dpkg(self):
        original = debian_packages.DPKG_QUERY
        self.addCleanup(setattr, debian_packages, "DPKG_QUERY", original)
        debian_packages.DPKG_QUERY = "/nonexistent/dpkg-query"
        with self.assertRaises(debian_packages.Unreadable):
            debian_packages.installed_packages()
        with self.assertRaises(debian_packages.Unreadable):
            debian_packages.owners_of({"/bin/sh"})

    def test_owner_is_found_under_either_name_of_a_merged_folder(self):
        self.assertIn("dash", debian_packages.owners_of({"/usr/bin/dash"})["/usr/bin/dash"])

    def test_cache_paths_skip_the_install_folder(self):
        with tempfile.TemporaryDirectory() as directory:
            with open(os.path.join(directory, "CMakeCache.txt"), "w") as file:
                file.write("// c\nCMAKE_INSTALL_PREFIX:PATH=/usr\nX:PATH=/bin;-L/tmp\n")
            self.assertEqual(build_inputs.cached_paths(directory), ["/bin", "/tmp"])


if __name__ == "__main__":
    unittest.main()
