"""A small deployment with a model, a plain service and two customers, for the tests of waxwing-router."""
import harness
from harness import request, wait_until

MODEL = {"name": "seams", "service": "seam-assistant", "version": "1", "bytes": 10_000_000_000,
         "max_replicas": 2, "load_estimate_ms": 300}
ROUTES = [
    {"path_prefix": "/certifications", "method": "POST", "repeatable": False, "cost_tokens": 5},
    {"path_prefix": "/lots", "method": "GET", "repeatable": True, "cost_tokens": 1},
    {"path_prefix": "/healthz", "method": "GET", "repeatable": True, "open": True, "cost_tokens": 0}]


class fleet(harness.Deployment):
    """The small layout of harness.py with one model, one plain service, two customers and a key for each."""

    def __init__(self, bin_folder, **changes):
        super().__init__(bin_folder, harness.small_layout(**changes))

    def __enter__(self):
        self.start()
        for admin in self.admins:
            wait_until(self.programs[admin["name"]].ready, f"{admin['name']} is ready")
        self.accept("services", {"name": "seam-assistant", "kind": "model"})
        self.accept("services", {"name": "lot-registry", "kind": "plain", "routes": ROUTES})
        self.accept("models", MODEL)
        self.accept("models", {**MODEL, "name": "rare"})
        for name, rate in (("norte", 50_000), ("sur", 100)):
            self.accept("customers", {"name": name, "tokens_per_second": rate, "burst_tokens": 2 * rate})
        for name in ("cerro", "la-teja"):
            self.accept("data-centres", {"name": name, "region": "uy", "state": "in"})
        self.key_id, self.key = self.grant_key("norte")
        _, self.poor_key = self.grant_key("sur")
        for router in self.routers:
            wait_until(self.programs[router["name"]].ready, f"{router['name']} is ready")
        wait_until(lambda: all(self.call("GET", "/v1/models", index=i).status == 200 for i in (0, 1)),
                   "both routers know the key")
        wait_until(lambda: self.call("GET", "/s/lot-registry/lots/none").status in (200, 404),
                   "the plain service is reachable")
        return self

    def accept(self, kind, value):
        answer = self.admin("POST", f"/v1/{kind}", value)
        assert answer.status == 201, f"{kind} {value}: {answer}"

    def call(self, method, path, body=None, index=0, key=None, **headers):
        headers = {name.replace("_", "-"): value for name, value in headers.items()}
        headers.setdefault("Authorization", f"Bearer {key or self.key}")
        return request(self.routers[index]["address"], method, path, body, headers, 90)

    def certify(self, lot, index=0, idempotency=None, **headers):
        if idempotency:
            headers["Idempotency_Key"] = idempotency
        return self.call("POST", "/s/lot-registry/certifications", {"lot": lot}, index, **headers)

    def registry_runs(self):
        return request(self.engines["lot-registry-1"], "GET", "/audit").json()["runs"]

    def audits(self):
        return {name: request(address, "GET", "/audit").json() for name, address in self.engines.items()}


def problem(answer, status, code, ran="not_run"):
    assert answer.status == status, f"expected {status} {code}, got {answer}"
    assert answer.headers["content-type"] == "application/problem+json", answer.headers
    body = answer.json()
    assert (body["code"], body["ran"], body["status"]) == (code, ran, status), body
    return body
