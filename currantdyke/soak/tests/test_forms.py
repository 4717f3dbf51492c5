import itertools
import random
import unittest

import anyio
import msgspec

from currantdyke.emulator import StoreEmulator
from currantdyke.soak.configurations import FIRST_KEY, Configurations
from currantdyke.soak.forms import EMPTY, ODD, UNUSABLE, draw_odd_forms, odd_form
from currantdyke.testing.gateways import configuration, plain_route
from currantdyke.testing.virtual import run_virtual


class TestForms(unittest.TestCase):
    def setUp(self):
        routes = [plain_route(), plain_route(name="r-new", prefix="/grown/0/")]
        self.document = configuration(8, routes)
        self.plain = msgspec.json.encode(self.document)

    # A form that changed nothing, or the plain document as well, would test nothing.
    def test_each_form_differs_and_leaves_the_plain_document(self):
        forms = [odd_form([name]) for name in ODD]
        for form in (*forms, *UNUSABLE, *EMPTY):
            with self.subTest(form=form.name):
                written = msgspec.json.encode(form.write(self.document))
                self.assertNotEqual(written, self.plain)
                self.assertEqual(msgspec.json.encode(self.document), self.plain)

    # An odd change that needs what another one took away ended a run.
    def test_odd_changes_can_be_combined(self):
        for names in itertools.permutations(ODD, 2):
            with self.subTest(names=names):
                written = odd_form(list(names)).write(self.document)
                self.assertNotEqual(msgspec.json.encode(written), self.plain)

    # A form that never came would stay untested however long a run is.
    def test_all_odd_changes_come_in_turn(self):
        drawn, forms = [], draw_odd_forms(random.Random(1))
        while len(drawn) < len(ODD):
            drawn += next(forms).name.split(", ")
        self.assertEqual(sorted(drawn), sorted(ODD))


class TestFormsOfVersions(unittest.TestCase):
    # The version before an unusable one may stay in force, but nothing that the new one
    # allows may be refused finally.
    def test_version_before_an_unusable_one_may_stay_in_force(self):
        async def scenario():
            configurations = Configurations(store=StoreEmulator())
            configurations.publish()
            configurations.grow(1, form=UNUSABLE[0])
            await anyio.sleep(3.0)
            now = anyio.current_time()
            possible = configurations.possible_documents(now)
            allowed = now - configurations.both_allowed_since("/grown/0/", FIRST_KEY)
            versions = [document["version"] for document in possible]
            return versions, allowed, configurations.required_version(2.0, 1e9)

        self.assertEqual(run_virtual(scenario), ([1, 2], 3.0, 1))

    # Without workspaces no key may be required to work, and an odd version is required.
    def test_empty_version_allows_nothing_and_an_odd_one_is_required(self):
        async def scenario():
            configurations = Configurations(store=StoreEmulator())
            configurations.publish(form=EMPTY[1])
            allowed = configurations.both_allowed_since("/plain/", FIRST_KEY)
            configurations.publish(form=odd_form(["version as text"]))
            await anyio.sleep(3.0)
            return allowed, configurations.required_version(2.0, 1e9)

        self.assertEqual(run_virtual(scenario), (float("inf"), 2))


if __name__ == "__main__":
    unittest.main()
