"""Orders lead to the intended state and never below the minimum."""

import attrs
import hypothesis
from hypothesis import given
from hypothesis import strategies as st

from chivepier.documents import Template
from chivepier.messages import Announcement
from chivepier.messages import TargetLoad
from chivepier.node.intent import list_intents
from chivepier.node.order import Order
from chivepier.node.orderkind import OrderKind
from chivepier.node.orderplan import plan_orders
from chivepier.types import Urgency

IDLE = TargetLoad(0, 0, 0, 0)


def make_target(name, *models, **changes):
    fields = {
        "adapters": (),
        "role": "serve",
        "checks_fence": True,
        "leaving": False,
        "pool": "p",
        **changes,
    }
    return Announcement(
        target=name,
        incarnation=1,
        sequence=1,
        kind="engine",
        address=name,
        zone="a",
        models=models,
        capacity_tokens=1,
        max_streams=1,
        load=IDLE,
        cached=(),
        **fields,
    )


def make_template(version="2", model="m", **changes):
    return Template(pool="p", model=model, model_version=version, **changes)


def plan(templates, targets, busy=()):
    orders = plan_orders(
        list_intents(templates), targets, {o.target: o for o in busy}
    )
    return [(o.target, o.kind.value, o.model, o.version) for o in orders]


def test_a_new_version_is_loaded_beside_the_old_one():
    targets = [make_target(n, "m@1") for n in "abc"]
    orders = plan([make_template(min_targets=2)], targets)
    assert orders == [("a", "load_model", "m", "2")]


def test_the_old_version_stays_until_the_minimum_has_the_new_one():
    both = make_target("a", "m@1", "m@2")
    old = make_target("b", "m@1")
    template = make_template(min_targets=2)
    assert plan([template], [both, old]) == [("b", "load_model", "m", "2")]
    orders = plan([template], [both, make_target("b", "m@1", "m@2")])
    assert orders == [
        ("a", "unload_model", "m", "1"),
        ("b", "unload_model", "m", "1"),
    ]


def test_a_leaving_target_is_replaced_by_one_set_apart():
    leaving = make_target("a", "m@2", leaving=True)
    spare = make_target("b", role="spare")
    orders = plan([make_template()], [leaving, spare])
    assert orders == [("b", "load_model", "m", "2")]
    loaded = make_target("b", "m@2", role="spare")
    orders = plan([make_template()], [leaving, loaded])
    assert orders == [("b", "set_role", "", "")]


def test_a_spare_target_stays_apart_while_the_minimum_serves():
    targets = [make_target("a", "m@2"), make_target("b", role="spare")]
    assert plan([make_template()], targets) == []


def test_the_urgent_template_comes_first():
    templates = [
        make_template(model="slow", urgency=Urgency.BATCH),
        make_template(model="fast", urgency=Urgency.URGENT),
    ]
    orders = plan(templates, [make_target("a"), make_target("b")])
    assert [o[2] for o in orders] == ["fast", "slow"]


def test_adapters_follow_their_model():
    template = make_template(adapters=("x", "y"))
    target = make_target("a", "m@2", adapters=("x",))
    orders = plan_orders(list_intents([template]), [target], {})
    assert [o.adapter for o in orders] == ["y"]


def test_a_target_with_an_order_gets_no_second_one():
    target = make_target("a", "m@1")
    busy = Order(
        target="a",
        address="a",
        checks_fence=True,
        kind=OrderKind.LOAD_MODEL,
        model="m",
        version="2",
    )
    assert plan([make_template()], [target], [busy]) == []


def carry_out(target, order):
    """Apply an order as an engine does."""
    name = f"{order.model}@{order.version}"
    match order.kind:
        case OrderKind.LOAD_MODEL:
            return attrs.evolve(target, models=(*target.models, name))
        case OrderKind.UNLOAD_MODEL:
            models = tuple(m for m in target.models if m != name)
            return attrs.evolve(target, models=models)
        case OrderKind.LOAD_ADAPTER:
            adapters = (*target.adapters, order.adapter)
            return attrs.evolve(target, adapters=adapters)
        case OrderKind.SET_ROLE:
            return attrs.evolve(target, role=order.role)


@hypothesis.settings(
    derandomize=True, max_examples=150, deadline=None, database=None
)
@given(
    st.lists(
        st.sets(st.sampled_from(["m@1", "m@2", "n@1"]), max_size=2),
        min_size=1,
        max_size=6,
    ),
    st.integers(1, 4),
    st.lists(st.booleans(), max_size=10),
    st.data(),
)
def test_any_order_of_events_reaches_the_intended_state(
    pool, least, failing, data
):
    """Orders end in any order, some fail, and each is planned anew.

    At no time do fewer targets than the minimum, or than there were, have
    the model in some version.
    """
    targets = {
        f"t{i}": make_target(f"t{i}", *sorted(models))
        for i, models in enumerate(pool)
    }
    templates = [
        make_template(min_targets=least, adapters=("x",)),
        make_template(model="n", version=""),
    ]
    intents = list_intents(templates)
    wanted = intents[0] if intents[0].model == "m" else intents[1]
    busy = {}
    floor = sum(wanted.is_held(t) for t in targets.values())
    for _ in range(200):
        orders = plan_orders(intents, targets.values(), busy)
        if not orders and not busy:
            break
        busy.update({o.target: o for o in orders})
        name = data.draw(st.sampled_from(sorted(busy)))
        order = busy.pop(name)
        if not (failing and failing.pop()):
            targets[name] = carry_out(targets[name], order)
        held = sum(wanted.is_held(t) for t in targets.values())
        assert held >= min(floor, least)
        floor = max(floor, held)
    assert not plan_orders(intents, targets.values(), {})
    having = [t for t in targets.values() if wanted.is_held(t)]
    assert all(wanted.is_served(t) and "m@1" not in t.models for t in having)
