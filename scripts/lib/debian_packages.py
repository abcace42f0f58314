"""What dpkg knows of the installed packages: dependencies, and owners of files."""

import dataclasses
import os
import re
import subprocess

DPKG_QUERY = "dpkg-query"
# Since the merge of / and /usr, a file may be recorded under either name.
MERGED_DIRECTORIES = ("/bin/", "/sbin/", "/lib/", "/lib64/", "/lib32/", "/libx32/")


class Unreadable(Exception):
    """A source of facts is missing or empty, so that nothing can be concluded."""


@dataclasses.dataclass(frozen=True)
class Package:
    name: str
    essential: bool
    depends: tuple  # of tuples: alternatives, in their order
    provides: frozenset


def run_query(*arguments):
    """Returns the output of dpkg-query; an unmatched path is no error."""
    try:
        done = subprocess.run([DPKG_QUERY, *arguments], capture_output=True,
                              text=True, env={**os.environ, "LC_ALL": "C"})
    except OSError as error:
        raise Unreadable(f"{DPKG_QUERY}: {error.strerror}") from error
    if done.returncode > 1:
        raise Unreadable(f"{DPKG_QUERY}: {done.stderr.strip()}")
    return done.stdout


def parse_name(text):
    """Strips version and architecture from one entry of a dependency field."""
    return re.split(r"[\s(:\[<]", text.strip(), maxsplit=1)[0]


def parse_depends(text):
    return tuple(tuple(parse_name(name) for name in group.split("|"))
                 for group in text.split(",") if group.strip())


def installed_packages():
    """Returns the installed packages by name."""
    fields = "${db:Status-Abbrev}\t${Package}\t${Essential}\t${Pre-Depends}" \
             "\t${Depends}\t${Provides}\n"
    packages = {}
    for line in run_query("-W", "-f", fields).splitlines():
        status, name, essential, pre_depends, depends, provides = line.split("\t")
        if not status.startswith("ii"):
            continue
        packages[name] = Package(
            name, essential == "yes",
            parse_depends(pre_depends) + parse_depends(depends),
            frozenset(group[0] for group in parse_depends(provides)))
    if not packages:
        raise Unreadable(f"{DPKG_QUERY} lists no installed package")
    return packages


def resolve(alternatives, packages):
    """Returns the package that satisfies a dependency on a clean machine.

    The first alternative counts; a virtual one only if its provider is unique.
    """
    for name in alternatives:
        if name in packages:
            return name
        providers = [p.name for p in packages.values() if name in p.provides]
        if len(providers) == 1:
            return providers[0]
    return None


def closure(roots, packages):
    """Returns the roots and all that they depend on (no recommendations)."""
    found, queue = set(), list(roots)
    while queue:
        name = queue.pop()
        if name in found:
            continue
        found.add(name)
        for alternatives in packages[name].depends:
            resolved = resolve(alternatives, packages)
            if resolved is not None:
                queue.append(resolved)
    return found


def links_to(path):
    """Returns a path and each symbolic link's target on the way to the file."""
    hops = []
    while True:
        path = os.path.join(os.path.realpath(os.path.dirname(path)),
                            os.path.basename(path))
        hops.append(path)
        if not os.path.islink(path) or len(hops) > 40:
            return hops
        path = os.path.join(os.path.dirname(path), os.readlink(path))


def recorded_names(path):
    """Returns the names under which dpkg may have recorded a file."""
    names = [path]
    if path.startswith("/usr/") and path[4:].startswith(MERGED_DIRECTORIES):
        names.append(path[4:])
    elif path.startswith(MERGED_DIRECTORIES):
        names.append("/usr" + path)
    return names


def owners_of(paths):
    """Returns the names of the packages that own each path."""
    recorded = {name: path for path in paths for name in recorded_names(path)}
    owners = {path: set() for path in paths}
    if not recorded:
        return owners
    for line in run_query("-S", *sorted(recorded)).splitlines():
        names, _, path = line.rpartition(": ")
        if path in recorded and not names.startswith("diversion by"):
            owners[recorded[path]].update(
                parse_name(name) for name in names.split(","))
    return owners
