import pathlib
import tempfile
import unittest

import anyio
import click.testing
import httpx
import yaml

from currantdyke.cli.config import Tools, config
from currantdyke.standins import KeyValueStandIn

STORE = "http://store:1"
BUNDLE = {
    "services": {
        "encoder": {
            "kind": "encode",
            "endpoints": [{"name": "encoder-1", "url": "http://10.0.0.1:8000"}],
        }
    },
    "workspaces": {"jos": {"share": 1.0}, "ibadan": {"share": 1.0}},
}


def daemon_app(name, version):
    async def app(scope, receive, send):
        state = {
            "daemon": name,
            "region": "ng-west",
            "version": version,
            "watches_store": True,
            "store_down": False,
        }
        response = httpx.Response(200, json=state)
        await send({"type": "http.response.start", "status": 200, "headers": []})
        await send({"type": "http.response.body", "body": response.content})

    return app


class TestConfig(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)
        self.key_value = KeyValueStandIn()
        self.apps = {STORE: self.key_value.app()}
        self.keys = {
            name: self.run_config("key", str(self.folder / name)).output.strip()
            for name in ("adaeze", "bola")
        }
        operators = {name: {"public_key": key} for name, key in self.keys.items()}
        self.bundle = BUNDLE | {"operators": operators}
        self.write("bootstrap.yaml", self.keys)

    def write(self, name, value):
        path = self.folder / name
        path.write_text(yaml.safe_dump(value))
        return str(path)

    def run_config(self, *arguments):
        def client():
            mounts = {
                url: httpx.ASGITransport(app=app) for url, app in self.apps.items()
            }
            return httpx.AsyncClient(mounts=mounts)

        runner = click.testing.CliRunner()
        tools = Tools(client=client, run=anyio.run)
        return runner.invoke(config, arguments, obj=tools)

    def as_operator(self, name, *arguments):
        return self.run_config(
            *arguments,
            *("--operator", name, "--key", str(self.folder / name)),
            *("--store", STORE),
            *("--bootstrap-operators", str(self.folder / "bootstrap.yaml")),
        )

    def signed_off(self, bundle, proposer="adaeze", signer="bola"):
        file = self.write("bundle.yaml", bundle)
        made = self.as_operator(proposer, "propose", file)
        self.assertEqual(made.exit_code, 0, made.output)
        change_id = made.output.split()[1].rstrip(":")
        signed = self.as_operator(signer, "sign-off", change_id, "--yes")
        self.assertEqual(signed.exit_code, 0, signed.output)
        return change_id

    def with_share(self, share, workspace="jos"):
        changed = {**BUNDLE["workspaces"], workspace: {"share": share}}
        return self.bundle | {"workspaces": changed}

    def test_change_goes_from_file_to_history(self):
        change_id = self.signed_off(self.bundle)
        rolled = self.as_operator("adaeze", "roll", change_id)
        self.assertEqual(rolled.output, f"change {change_id} is version 1\n")
        file = self.write("next.yaml", self.with_share(2.0))
        diff = self.run_config("diff", file, "--store", STORE)
        self.assertIn("- workspaces/jos", diff.output)
        self.assertIn("1 items differ from version 1", diff.output)
        shown = self.run_config("history", "--store", STORE)
        self.assertIn("proposed by adaeze, signed off by bola", shown.output)

    def test_loser_of_a_race_is_told_how_to_go_on(self):
        self.as_operator("bola", "roll", self.signed_off(self.bundle))
        mine = self.signed_off(self.with_share(3.0, "ibadan"), "bola", "adaeze")
        self.as_operator("adaeze", "roll", self.signed_off(self.with_share(2.0)))
        lost = self.as_operator("bola", "roll", mine)
        self.assertEqual(lost.exit_code, 3)
        self.assertIn("adaeze's change", lost.output)
        self.assertIn("roll again with --rebase", lost.output)
        won = self.as_operator("bola", "roll", mine, "--rebase")
        self.assertEqual(won.output, f"change {mine} is version 3\n")

    def test_roll_back_goes_the_same_way(self):
        self.as_operator("bola", "roll", self.signed_off(self.bundle))
        self.as_operator("bola", "roll", self.signed_off(self.with_share(2.0)))
        made = self.as_operator("adaeze", "roll-back", "1")
        change_id = made.output.split()[1].rstrip(":")
        self.as_operator("bola", "sign-off", change_id, "--yes")
        rolled = self.as_operator("adaeze", "roll", change_id)
        self.assertIn("is version 3", rolled.output)
        file = self.write("first.yaml", self.bundle)
        diff = self.run_config("diff", file, "--store", STORE)
        self.assertIn("0 items differ from version 3", diff.output)

    def test_status_names_who_lags_and_who_does_not_answer(self):
        self.as_operator("bola", "roll", self.signed_off(self.bundle))
        self.as_operator("bola", "roll", self.signed_off(self.with_share(2.0)))
        self.apps["http://entry-1:1"] = daemon_app("entry-1", 2)
        self.apps["http://entry-2:1"] = daemon_app("entry-2", 1)
        urls = [f"http://entry-{i}:1" for i in (1, 2)] + ["http://127.0.0.1:9"]
        options = [part for url in urls for part in ("--daemon", url)]
        shown = self.run_config("status", *options, "--store", STORE)
        self.assertEqual(shown.exit_code, 4)
        self.assertRegex(shown.output, r"entry-1 .* in force")
        self.assertRegex(shown.output, r"entry-2 .* lags by 1")
        self.assertIn("no answer", shown.output)
        self.assertIn("2 of 3 daemons", shown.output)

    def test_invalid_bundle_and_wrong_key_are_refused(self):
        file = self.write("bad.yaml", self.bundle | {"services": 3})
        self.assertEqual(self.run_config("check", file).exit_code, 2)
        stranger = self.as_operator("bola", "propose", self.write("b", self.bundle))
        self.assertEqual(stranger.exit_code, 0)
        (self.folder / "bola").write_bytes((self.folder / "adaeze").read_bytes())
        refused = self.as_operator("bola", "propose", self.write("b", self.bundle))
        self.assertEqual(refused.exit_code, 1)
        self.assertIn("is no operator", refused.output)


if __name__ == "__main__":
    unittest.main()
