"""Names the sources whose lint result is not known yet.

The key of a result is the content of the source and of every file that it
includes, as the compiler noted them, with the list of checks and the version of
the tool. Prints "KEY SOURCE" a line for each source that has to be linted.
"""

import hashlib
import json
import os
import subprocess
import sys


def dependencies(build):
    """Maps each source to the files that its object was built from."""
    text = subprocess.run(["ninja", "-C", build, "-t", "deps"],
                          capture_output=True, text=True, check=True).stdout
    found, current = {}, None
    for line in text.splitlines():
        if line and not line.startswith(" "):
            current = line.split(":")[0]
            found[current] = []
        elif line.strip():
            found[current].append(line.strip())
    commands = json.load(open(os.path.join(build, "compile_commands.json")))
    sources = {}
    for command in commands:
        output = command.get("output") or command["command"].split(" -o ")[1].split()[0]
        source = os.path.realpath(os.path.join(command["directory"], command["file"]))
        sources[source] = found.get(output, [])
    return sources


def digest(path, cache={}):
    if path not in cache:
        with open(path, "rb") as file:
            cache[path] = hashlib.sha256(file.read()).hexdigest()
    return cache[path]


def main():
    build, results = sys.argv[1], sys.argv[2]
    version = subprocess.run(["clang-tidy", "--version"], capture_output=True,
                             text=True, check=True).stdout
    base = version + digest(".clang-tidy")
    known = dependencies(build)
    for source in sys.stdin.read().split():
        key = hashlib.sha256(base.encode())
        key.update(digest(source).encode())
        needed = known.get(os.path.realpath(source), [])
        for path in sorted(needed):
            full = os.path.join(build, path)
            if os.path.exists(full):
                key.update(digest(full).encode())
        name = key.hexdigest()
        if not needed or not os.path.exists(os.path.join(results, name)):
            print(name, source)


main()
