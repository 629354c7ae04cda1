"""Writes the operators' page of settings from the settings' own schema.

``python -m stoattray_balancer.settings_page`` prints the page.
"""

from collections.abc import Iterator
from typing import Any

from stoattray_balancer.settings import settings_schema

PAGE_HEADER = """# Settings

One JSON object for each balancer process. `stoattray check-config FILE` checks
it, `stoattray print-schema` prints its JSON schema. Unknown keys are errors.
This page is written by `python -m stoattray_balancer.settings_page`.

| key | default | range | meaning |
| --- | --- | --- | --- |
"""


def build_page() -> str:
    """Return the page in Markdown."""
    schema = settings_schema()
    return PAGE_HEADER + "".join(_rows(schema, schema, ""))


def _rows(schema: dict[str, Any], model: dict[str, Any], prefix: str) -> Iterator[str]:
    required = set(model.get("required", ()))
    for name, field in model["properties"].items():
        nested = _nested_model(schema, field)
        if nested is not None and "properties" in nested:
            yield from _rows(schema, nested, f"{prefix}{name}.")
            continue
        default = "required" if name in required else _default_value(field)
        meaning = field.get("description", "")
        allowed = _allowed_values(nested or field)
        yield f"| `{prefix}{name}` | {default} | {allowed} | {meaning} |\n"


def _nested_model(
    schema: dict[str, Any], field: dict[str, Any]
) -> dict[str, Any] | None:
    candidates = [field, *field.get("anyOf", ())]
    for reference in candidates:
        if "$ref" in reference:
            name = reference["$ref"].rpartition("/")[2]
            return schema["$defs"][name]
    return None


def _default_value(field: dict[str, Any]) -> str:
    default = field.get("default")
    return "none" if default is None else f"`{default}`".lower()


def _allowed_values(field: dict[str, Any]) -> str:
    if "enum" in field:
        return ", ".join(f"`{value}`" for value in field["enum"])
    if "minimum" in field or "maximum" in field:
        return f"{field.get('minimum', '')} to {field.get('maximum', '')}"
    if "maxItems" in field:
        return f"at most {field['maxItems']} items"
    return field.get("type", "")


if __name__ == "__main__":
    print(build_page(), end="")
