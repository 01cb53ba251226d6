"""A node on the users' platform whose settings have customers with keys.

The manifest's customers are not translated yet; once they are, the test can
run the program itself.
"""

from typing import Any

from daisyline.platform import kinds, program
from daisyline.platform.boot import Boot
from daisyline.platform.manifest import settings_tree


def _tree_with_customers(manifest: Any, boot: Boot) -> Any:
    tree = settings_tree(manifest, boot)
    tree['tenants'] = {name: {'keys': [name]} for name in ('acme', 'globex')}
    return tree


if __name__ == '__main__':
    kinds.settings_tree = _tree_with_customers
    program.main()
