"""Calls of operators, for the steps of the state."""

VOTERS = "/v1/operator/voters"
CHANGES = "/v1/operator/changes"
DOCUMENTS = "/v1/operator/documents/team"


def live(context):
    """Return the instances that run."""
    cluster = context.cluster
    return [n for n in cluster.names if cluster.processes[n].poll() is None]


def ask(context, path, body=None, name=None, timeout=70):
    """Call an instance as operator."""
    name = name or live(context)[0]
    address = context.cluster.http[name]
    return context.cluster.call(address, path, body, timeout=timeout)


def write_team(context, change, team, base=0, operator="op", name=None):
    """Submit a change of one team's parameters."""
    edit = {
        "kind": "team",
        "name": team,
        "base_version": base,
        "spec": {"key_sha256": [], "weight": len(change)},
    }
    body = {"change_id": change, "operator": operator, "edits": [edit]}
    return ask(context, CHANGES, body, name)
