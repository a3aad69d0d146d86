"""Generate the Python messages and stubs of peers.proto, for `make generate`.

The output is committed, so that a build doesn't need the generator.
"""

import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
PACKAGE_ROOT = HERE.parent.parent
PROTO = HERE / "peers.proto"
OUTPUT = HERE / "generated"


def run() -> int:
    """Write the generated modules to `OUTPUT` and return the exit code of protoc.

    The generated stubs import the messages as a top-level module, which is replaced
    by an import from this package.
    """
    from grpc_tools import protoc

    arguments = [
        "protoc",
        f"-I{HERE}",
        f"--python_out={OUTPUT}",
        f"--pyi_out={OUTPUT}",
        f"--grpclib_python_out={OUTPUT}",
        str(PROTO),
    ]
    code = int(protoc.main(arguments))
    stub = OUTPUT / "peers_grpc.py"
    text = stub.read_text().replace(
        "import peers_pb2", "from anvilshift.peers.generated import peers_pb2"
    )
    stub.write_text(text)
    return code


if __name__ == "__main__":
    sys.exit(run())
