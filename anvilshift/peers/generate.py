"""Generate the messages and stubs of peers.proto; `make generate` runs this.

The output is committed, so that a build needs no generator.
"""

import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
PACKAGE_ROOT = HERE.parent.parent
PROTO = HERE / "peers.proto"
OUTPUT = HERE / "generated"


def run() -> int:
    """Write the generated modules beside the proto file."""
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
