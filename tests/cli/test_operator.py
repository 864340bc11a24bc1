"""The subcommands check, new, run, diff and schema: their output, files and exit statuses."""

from __future__ import annotations

import http.client
import json
import os
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Iterator
from contextlib import contextmanager
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from pathlib import Path
from threading import Thread

import pytest

from passpost.cli import command
from tests.loopback import config_data, member
from tests.operator.files import GOOD, good_file_with

TIMEOUT_S = 20.0


@pytest.fixture
def valid_path(tmp_path: Path) -> str:
    (tmp_path / "good.toml").write_text(GOOD)
    return str(tmp_path / "good.toml")


def test_check_accepts_a_valid_file(valid_path: str, capsys: pytest.CaptureFixture[str]) -> None:
    assert command.run(["check", valid_path]) == 0
    assert capsys.readouterr().out == f"{valid_path}: fine\n"


def test_check_reports_every_mistake_with_its_line(
    tmp_path: Path, valid_path: str, capsys: pytest.CaptureFixture[str]
) -> None:
    bad = tmp_path / "bad.toml"
    bad.write_text(good_file_with(("share = 0.4", "share = 0.5"), ("serve_s = 2", "serv_s = 2")))
    assert command.run(["check", valid_path, str(bad)]) == 2
    assert capsys.readouterr().out == (
        f"{valid_path}: fine\n"
        f"{bad}:10: drain.serv_s: unknown key; did you mean 'serve_s'?\n"
        f"{bad}:35: applications[0].tenants: the shares add up to 110%; at most 100%: otherwise the shares "
        "can't all be used at once\n"
    )
    assert command.run(["check", str(bad), "--json"]) == 2
    result = json.loads(capsys.readouterr().out)
    assert result["fine"] is False
    assert [(f["key"], f["line"], f["warning"]) for f in result["findings"]] == [
        ("drain.serv_s", 10, False),
        ("applications[0].tenants", 35, False),
    ]


def test_check_reports_invalid_toml_in_one_line(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    bad = tmp_path / "bad.toml"
    bad.write_text("version = 1\nnonsense\n")
    assert command.run(["check", str(bad)]) == 2
    out = capsys.readouterr().out
    assert out.startswith(f"{bad}:2: invalid TOML: ") and out.count("\n") == 1


def test_check_accepts_a_file_with_a_warning(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    path = tmp_path / "f.toml"
    path.write_text(good_file_with(("127.0.0.1:17071", "0.0.0.0:17071")))
    assert command.run(["check", str(path)]) == 0
    assert "warning: applications[1].listen: listens on every address" in capsys.readouterr().out


def test_check_resolves_names_only_with_resolve(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    path = tmp_path / "f.toml"
    # RFC 6761, section 6.4: names in .invalid never resolve.
    path.write_text(good_file_with(("localhost:18003", "no-such-host.invalid:18003")))
    assert command.run(["check", str(path)]) == 0
    assert command.run(["check", str(path), "--resolve"]) == 2
    assert (
        "applications[1].upstreams.names: 'no-such-host.invalid' does not resolve" in capsys.readouterr().out
    )


def test_check_refuses_a_port_in_use(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    with socket.create_server(("127.0.0.1", 0)) as other:
        port = other.getsockname()[1]
        path = tmp_path / "f.toml"
        path.write_text(good_file_with(("127.0.0.1:17070", f"127.0.0.1:{port}")))
        assert command.run(["check", str(path)]) == 2
    assert f"applications[0].listen: 127.0.0.1:{port} is taken" in capsys.readouterr().out


def test_diff_prints_the_differences(
    tmp_path: Path, valid_path: str, capsys: pytest.CaptureFixture[str]
) -> None:
    other = tmp_path / "other.toml"
    other.write_text(
        good_file_with(("memory_mb = 256", "memory_mb = 512"), ("deadline_ms = 3000", "deadline_ms = 3100"))
    )
    assert command.run(["diff", valid_path, str(other)]) == 0
    assert capsys.readouterr().out == (
        "limits.memory_mb: 512, was 256  [after a restart]\nrender.frame.deadline_ms: 3100, was 3000\n"
    )
    assert command.run(["diff", valid_path, valid_path]) == 0
    assert capsys.readouterr().out == "no difference in behaviour\n"
    assert command.run(["diff", valid_path, "nowhere"]) == 2


def test_schema_contains_the_keys_and_definitions(capsys: pytest.CaptureFixture[str]) -> None:
    assert command.run(["schema"]) == 0
    schema = json.loads(capsys.readouterr().out)
    assert schema["$schema"].endswith("2020-12/schema")
    application = schema["$defs"]["Application"]["properties"]
    assert application["listen"]["description"] and set(schema["$defs"]) >= {
        "Class",
        "Tenant",
        "Names",
        "File",
    }


DESCRIPTION = """\
application = "survey"

[[calls]]
service = "render"
at = ["127.0.0.1:18001"]

[[calls.requests]]
name = "frame"
path = "/frames/**"
"""


def test_new_writes_a_valid_file_and_merges_edits(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    source, target = tmp_path / "d.toml", tmp_path / "f.toml"
    source.write_text(DESCRIPTION)
    assert command.run(["new", str(source), "-o", str(target)]) == 0
    first = target.read_text()
    assert command.run(["new", str(source), "-o", str(target)]) == 0
    assert target.read_text() == first
    assert command.run(["check", str(target)]) == 0
    target.write_text(first.replace("# memory_mb = 256", "memory_mb = 512"))
    source.write_text(DESCRIPTION.replace('"/frames/**"', '"/stills/**"'))
    assert command.run(["new", str(source), "-o", str(target)]) == 0
    assert "memory_mb = 512" in target.read_text() and "/stills/**" in target.read_text()
    target.write_text(target.read_text().replace("/stills/**", "/mine/**"))
    source.write_text(DESCRIPTION.replace('"/frames/**"', '"/theirs/**"'))
    before = target.read_text()
    capsys.readouterr()
    assert command.run(["new", str(source), "-o", str(target)]) == 1
    assert (
        "conflict: your edit is 'path = \"/mine/**\"', the new text is 'path = \"/theirs/**\"'"
        in capsys.readouterr().err
    )
    assert target.read_text() == before
    assert command.run(["new", str(source), "-o", str(target), "--force"]) == 0
    assert "/theirs/**" in target.read_text()


def test_new_does_not_overwrite_a_foreign_file(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    source, target = tmp_path / "d.toml", tmp_path / "f.toml"
    source.write_text(DESCRIPTION)
    target.write_text("# mine\n")
    assert command.run(["new", str(source), "-o", str(target)]) == 1
    assert target.read_text() == "# mine\n" and "use --force to overwrite it" in capsys.readouterr().err


@pytest.mark.parametrize(
    ("edit", "wanted"),
    [
        (('service = "render"', 'servise = "render"'), "unknown key; did you mean 'service'?"),
        (('at = ["127.0.0.1:18001"]', "at = []"), "calls[0].at: must hold at least 1 entries"),
        (('path = "/frames/**"', 'path = "/frames/**"\nrepeat = "with-key"'), "a keyed class needs the time"),
        (('"127.0.0.1:18001"', '"127.0.0.1:x"'), "not a host name and port"),
    ],
)
def test_new_refuses_an_invalid_description(
    edit: tuple[str, str], wanted: str, tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    source = tmp_path / "d.toml"
    source.write_text(DESCRIPTION.replace(*edit))
    assert command.run(["new", str(source)]) == 2
    result = capsys.readouterr()
    assert wanted in result.err and "Traceback" not in result.err and result.out == ""


def test_new_with_questions_writes_the_same_file(tmp_path: Path) -> None:
    answers = "survey\nrender\n127.0.0.1:18001\n2000\n0\ny\nframe\n/frames/**\nGET\nfreely\nn\nn\n"
    source, asked_path, generated_path = tmp_path / "questions", tmp_path / "a.toml", tmp_path / "w.toml"
    source.write_text(DESCRIPTION)
    done = subprocess.run(
        [sys.executable, "-m", "passpost.cli", "new", "--ask", "-o", str(asked_path)],
        input=answers, text=True, capture_output=True,
    )  # fmt: skip
    assert done.returncode == 0, done.stderr
    assert command.run(["new", str(source), "-o", str(generated_path)]) == 0
    assert asked_path.read_text() == generated_path.read_text()


# ---- run, in a separate process


class _EchoServer(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"

    def do_GET(self) -> None:
        body = f"{self.path} {self.headers['X-Request-Id']}".encode()
        self.send_response(200)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def log_message(self, *_: object) -> None:
        pass


@contextmanager
def upstream() -> Iterator[int]:
    server = ThreadingHTTPServer(("127.0.0.1", 0), _EchoServer)
    server.daemon_threads = True
    thread = Thread(target=server.serve_forever, daemon=True)
    thread.start()
    try:
        yield server.server_port
    finally:
        server.shutdown()
        server.server_close()


def free_port() -> int:
    with socket.create_server(("127.0.0.1", 0)) as held:
        return int(held.getsockname()[1])


def get(port: int, path: str) -> tuple[int, str, str]:
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=TIMEOUT_S)
    try:
        connection.request("GET", path)
        got = connection.getresponse()
        return got.status, got.read().decode(), got.getheader("Server", "")
    finally:
        connection.close()


def wait_until_ready(port: int, process: subprocess.Popen[str]) -> None:
    for _ in range(int(TIMEOUT_S / 0.05)):
        assert process.poll() is None, process.stderr.read() if process.stderr else ""
        try:
            if get(port, "/health/ready")[0] == 200:
                return
        except OSError:
            pass
        time.sleep(0.05)
    raise AssertionError("not ready")


@contextmanager
def run_process(path: Path, *arguments: str, **environment: str) -> Iterator[subprocess.Popen[str]]:
    process = subprocess.Popen(
        [sys.executable, *(arguments or ("-m", "passpost.cli", "run", str(path)))],
        env=os.environ | environment,
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
        text=True,
    )
    try:
        yield process
    finally:
        if process.poll() is None:
            process.kill()
        process.communicate()


def test_run_serves_reloads_and_stops(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    source, path, port = tmp_path / "d.toml", tmp_path / "f.toml", free_port()
    with upstream() as server:
        text = DESCRIPTION.replace("18001", str(server)).replace(
            "[[calls.requests]]", f'listen = "127.0.0.1:{port}"\n\n[[calls.requests]]'
        )
        source.write_text(text)
        assert command.run(["new", str(source), "-o", str(path)]) == 0
        with run_process(path) as process:
            wait_until_ready(port, process)
            status, body, _ = get(port, "/frames/1")
            assert status == 200 and body.startswith("/frames/1 render-")
            assert get(port, "/health/ready")[2] == "passpost/render"
            # The port is held by the sidecar that runs with this file.
            assert command.run(["check", str(path)]) == 0
            path.write_text(path.read_text().replace("/frames/**", "/stills/**"))
            process.send_signal(signal.SIGHUP)
            for _ in range(int(TIMEOUT_S / 0.05)):
                if get(port, "/stills/1")[0] == 200:
                    break
                time.sleep(0.05)
            assert get(port, "/stills/1")[0] == 200 and get(port, "/frames/1")[0] == 404
            process.send_signal(signal.SIGTERM)
            _, log = process.communicate(timeout=TIMEOUT_S)
            assert process.returncode == 0, log
            assert "render.frame.path: '/stills/**', was '/frames/**'" in log


def test_operators_file_is_served_beside_the_platforms_balancer(tmp_path: Path) -> None:
    port, platform_port = free_port(), free_port()
    with upstream() as server:
        config, path = tmp_path / "config.json", tmp_path / "f.toml"
        data = config_data([member("s0", f"127.0.0.1:{server}")]) | {"listen": f"127.0.0.1:{platform_port}"}
        config.write_text(json.dumps(data))
        source = tmp_path / "d.toml"
        source.write_text(
            DESCRIPTION.replace("18001", str(server)).replace(
                "[[calls.requests]]", f'listen = "127.0.0.1:{port}"\n\n[[calls.requests]]'
            )
        )
        assert command.run(["new", str(source), "-o", str(path)]) == 0
        arguments = ("-m", "passpost", "--operator", str(path))
        with run_process(path, *arguments, EDGE_CONFIG=str(config)) as process:
            wait_until_ready(platform_port, process)
            wait_until_ready(port, process)
            assert get(port, "/frames/1")[0] == 200
            process.send_signal(signal.SIGTERM)
            _, log = process.communicate(timeout=TIMEOUT_S)
            assert process.returncode == 0, log
        path.write_text("version = ")
        with run_process(path, *arguments, EDGE_CONFIG=str(config)) as process:
            _, log = process.communicate(timeout=TIMEOUT_S)
        assert process.returncode == 2 and "invalid TOML" in log and "Traceback" not in log


def test_run_on_a_port_in_use_ends_with_a_one_line_error(tmp_path: Path) -> None:
    path = tmp_path / "f.toml"
    with socket.create_server(("127.0.0.1", 0)) as other:
        port = other.getsockname()[1]
        path.write_text(good_file_with(("127.0.0.1:17070", f"127.0.0.1:{port}")))
        with run_process(path, RENDER_TOKEN="x") as process:
            _, log = process.communicate(timeout=TIMEOUT_S)
    assert process.returncode == 1 and "Traceback" not in log
    assert "in use" in log.strip().split("\n")[-1]


def test_run_refuses_a_file_with_a_mistake(tmp_path: Path) -> None:
    path = tmp_path / "f.toml"
    path.write_text(good_file_with(("share = 0.4", "share = 0.5")))
    with run_process(path) as process:
        _, log = process.communicate(timeout=TIMEOUT_S)
    assert process.returncode == 2 and "the shares add up to 110%" in log and "Traceback" not in log
