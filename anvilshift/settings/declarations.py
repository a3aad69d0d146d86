"""Validation of operators' declarations, from YAML files or platform objects."""

import pathlib
from typing import Annotated, Any, Literal

from pydantic import (
    BaseModel,
    ConfigDict,
    Field,
    ValidationError,
    model_validator,
)

from anvilshift.core.declarations import (
    Budget,
    Declaration,
    Engine,
    EngineGroup,
    Organisation,
    Policy,
    Route,
    TargetKind,
)
from anvilshift.core.errors import BAD_DECLARATION, AnvilshiftError
from anvilshift.core.labels import Operator, Requirement, Selector
from anvilshift.settings.files import (
    IpPort,
    Problem,
    check,
    list_problems,
    read_yaml,
)

Name = Annotated[str, Field(pattern=r"^[a-z0-9][a-z0-9._-]{0,62}$")]
Labels = dict[str, str]


class _Model(BaseModel):
    model_config = ConfigDict(extra="forbid", strict=True)


class _RequirementModel(_Model):
    key: str
    operator: Literal["In", "NotIn", "Exists", "DoesNotExist"]
    values: list[str] = []

    @model_validator(mode="after")
    def _check_values(self) -> "_RequirementModel":
        requires_values = self.operator in ("In", "NotIn")
        if requires_values != bool(self.values):
            verb = "needs" if requires_values else "takes no"
            raise ValueError(f"{self.operator} {verb} values")
        return self

    def convert(self) -> Requirement:
        return Requirement(self.key, Operator(self.operator), tuple(self.values))


class _SelectorModel(_Model):
    match_labels: Labels = {}
    match_expressions: list[_RequirementModel] = []

    def convert(self) -> Selector:
        requirements = tuple(item.convert() for item in self.match_expressions)
        return Selector(self.match_labels, requirements)


class _BudgetModel(_Model):
    kind: Literal["Budget"]
    name: Name
    labels: Labels = {}
    allowance: int = Field(default=Budget.allowance, ge=0)
    grant: int = Field(default=Budget.grant, ge=1)

    def convert(self) -> Budget:
        return Budget(self.name, self.labels, self.allowance, self.grant)


class _OrganisationModel(_Model):
    kind: Literal["Organisation"]
    name: Name
    budget: Name
    labels: Labels = {}
    credentials: list[Annotated[str, Field(pattern=r"^[0-9a-f]{64}$")]] = []
    weight: float = Field(default=Organisation.weight, gt=0)

    def convert(self) -> Organisation:
        credentials = tuple(self.credentials)
        return Organisation(
            self.name, self.budget, self.labels, credentials, self.weight
        )


class _RouteModel(_Model):
    kind: Literal["Route"]
    name: Name
    target: Literal["model", "service"]
    engines: _SelectorModel = _SelectorModel()
    labels: Labels = {}
    request_class: Name = Route.request_class
    cost: int = Field(default=Route.cost, ge=0)
    timeout_ms: float = Field(default=Route.timeout, gt=0)
    non_idempotent: bool = Route.non_idempotent

    def convert(self) -> Route:
        return Route(
            self.name,
            TargetKind(self.target),
            self.engines.convert(),
            self.labels,
            self.request_class,
            self.cost,
            self.timeout_ms,
            self.non_idempotent,
        )


class _EngineModel(_Model):
    name: Name
    address: IpPort
    failure_domain: str
    slots: int = Field(default=Engine.slots, ge=1)
    checks_fencing: bool = Engine.checks_fencing
    host: str = Engine.host

    def convert(self) -> Engine:
        return Engine(
            self.name,
            self.address,
            self.failure_domain,
            self.slots,
            self.checks_fencing,
            self.host,
        )


class _EngineGroupModel(_Model):
    kind: Literal["EngineGroup"]
    name: Name
    target: Literal["model", "service"]
    labels: Labels = {}
    models: list[Name] = []
    engines: list[_EngineModel]
    desired: dict[str, str] = {}

    @model_validator(mode="after")
    def _check_desired(self) -> "_EngineGroupModel":
        if self.desired and self.target == "service":
            raise ValueError("desired: only models support a desired state")
        return self

    def convert(self) -> EngineGroup:
        engines = tuple(engine.convert() for engine in self.engines)
        return EngineGroup(
            self.name,
            TargetKind(self.target),
            engines,
            self.labels,
            tuple(self.models),
            self.desired,
        )


class _PolicyModel(_Model):
    kind: Literal["Policy"]
    name: Name
    organisations: _SelectorModel = _SelectorModel()
    engines: _SelectorModel = _SelectorModel()
    priority: int = Field(default=Policy.priority, ge=-1000, le=1000)

    def convert(self) -> Policy:
        organisations = self.organisations.convert()
        return Policy(self.name, organisations, self.engines.convert(), self.priority)


_MODELS: dict[str, type[Any]] = {
    "Budget": _BudgetModel,
    "Organisation": _OrganisationModel,
    "Route": _RouteModel,
    "EngineGroup": _EngineGroupModel,
    "Policy": _PolicyModel,
}


def find_problems(value: Any) -> list[Problem]:
    """Return what is wrong with a declaration by itself; nothing if it is valid."""
    kind = value.get("kind") if isinstance(value, dict) else None
    if not isinstance(kind, str) or kind not in _MODELS:
        return [Problem(("kind",), f"expected one of {', '.join(_MODELS)}")]
    try:
        _MODELS[kind].model_validate(value)
    except ValidationError as error:
        return list_problems(error, _MODELS[kind])
    return []


def parse_declaration(value: Any, where: str) -> Declaration:
    """Return the declaration that a mapping describes.

    Raises
    ------
    AnvilshiftError
        Code 6002 with the declaration's location, the key path and what was
        expected.
    """
    kind = value.get("kind") if isinstance(value, dict) else None
    if not isinstance(kind, str) or kind not in _MODELS:
        detail = f"{where}: kind: expected one of {', '.join(_MODELS)}"
        raise AnvilshiftError(BAD_DECLARATION, detail)
    declaration: Declaration = check(
        value, _MODELS[kind], where, BAD_DECLARATION
    ).convert()
    return declaration


def read_documents(directory: str) -> dict[tuple[str, str], dict[str, Any]]:
    """Return the validated documents of all YAML files below a directory.

    The keys are the declaration's kind and name; the values are as in the file.

    Raises
    ------
    AnvilshiftError
        Code 6002 if a declaration is invalid or declared twice.
    """
    documents: dict[tuple[str, str], dict[str, Any]] = {}
    for path in sorted(pathlib.Path(directory).rglob("*.yaml")):
        for index, value in enumerate(read_yaml(str(path), BAD_DECLARATION)):
            if value is None:
                continue
            where = f"{path}[{index}]"
            declaration = parse_declaration(value, where)
            key = (type(declaration).__name__, declaration.name)
            if key in documents:
                detail = f"{where}: {key[0]} {key[1]} is declared twice"
                raise AnvilshiftError(BAD_DECLARATION, detail)
            documents[key] = value
    return documents
