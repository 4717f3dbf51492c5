import unittest

import attrs

from currantdyke.bundle import EndpointSpec
from currantdyke.bundle.content import Content, decode_part
from currantdyke.bundle.items import bundle_items, edited_bundle, empty_bundle
from currantdyke.bundle.schema import bundle_problems
from currantdyke.bundle.tests.builders import build_signed_bundle, with_share


class TestItems(unittest.TestCase):
    def test_bundle_is_built_again_from_its_items(self):
        bundle = build_signed_bundle(workspaces=30, endpoints=9)
        rebuilt = edited_bundle(empty_bundle(), dict(bundle_items(bundle)))
        self.assertEqual(rebuilt, bundle)

    def test_edits_add_replace_and_remove(self):
        old = build_signed_bundle(workspaces=3, endpoints=4)
        names = dict(list(old.workspaces.items())[1:])
        service = old.services["encoder"]
        moved = attrs.evolve(service, endpoints=service.endpoints[1:])
        new = with_share(attrs.evolve(old, workspaces=names), 4.0, "workspace-00001")
        new = attrs.evolve(new, services={"encoder": moved})
        edits = Content.of_bundle(old).edits_to(Content.of_bundle(new))
        self.assertEqual(edited_bundle(old, edits), new)
        self.assertEqual(
            Content.of_bundle(old).edited(edits).root, Content.of_bundle(new).root
        )

    def test_item_that_does_not_fit_its_kind_is_refused(self):
        bundle = build_signed_bundle()
        for path, text in (
            ("workspaces/a", b'{"share": -1}'),
            ("workspaces/a", b"not JSON"),
            ("endpoints/nobody/a", b'{"name":"a","url":"http://a"}'),
            ("elsewhere/a", b"{}"),
        ):
            with self.subTest(path=path), self.assertRaises(ValueError):
                edited_bundle(bundle, {path: text})

    def test_endpoints_of_one_name_are_refused(self):
        twice = (EndpointSpec(name="a", url="http://a"),) * 2
        bundle = build_signed_bundle()
        service = attrs.evolve(bundle.services["encoder"], endpoints=twice)
        problems = bundle_problems(attrs.evolve(bundle, services={"encoder": service}))
        self.assertIn("2 endpoints are named 'a'", problems[0].detail)


class TestParts(unittest.TestCase):
    def test_one_workspace_rewrites_one_part(self):
        bundle = build_signed_bundle(workspaces=500)
        old, new = Content.of_bundle(bundle), Content.of_bundle(with_share(bundle, 2.0))
        changed = {n for n in old.hashes if old.hashes[n] != new.hashes[n]}
        self.assertEqual(len(changed), 1)
        self.assertLess(len(decode_part(new.part(changed.pop()))), 30)

    def test_order_of_edits_does_not_matter(self):
        items = dict(bundle_items(build_signed_bundle(workspaces=50)))
        backwards = Content.of_items(reversed(items.items()))
        self.assertEqual(Content.of_items(items.items()).root, backwards.root)


if __name__ == "__main__":
    unittest.main()
