import { Err, Ok, type Result } from "ts-results-es";
import { describeIssues } from "../settings/describe_issues.ts";
import {
  type ConfigurationDocument,
  documentSchema,
  type PublishedValue,
} from "./document_schema.ts";

/** Folder of a key to the kinds of document it may hold. */
const KINDS_BY_FOLDER: Readonly<Record<string, ConfigurationDocument["kind"]>> =
  {
    templates: "template",
    customers: "customer",
    assignments: "assignment",
  };

/** Most bytes of a value, as JSON. */
export const MAX_VALUE_BYTES = 1_000_000;

/** Decides whether a published value is accepted.
 * The decision depends on the value alone, so every router decides alike whatever it has seen before.
 * @param published The value with its key.
 * @returns The document, or every reason for the refusal. */
export function acceptDocument(
  published: PublishedValue,
): Result<ConfigurationDocument, string[]> {
  const [partner, folder, name, ...rest] = published.key.split("/");
  const kind = KINDS_BY_FOLDER[folder ?? ""];
  if (!partner || !name || rest.length > 0 || !kind) {
    return Err([
      `key: ${published.key} is not <partner>/(templates|customers|assignments)/<name>`,
    ]);
  }
  const bytes = Buffer.byteLength(JSON.stringify(published.value) ?? "");
  if (bytes > MAX_VALUE_BYTES) {
    return Err([`document: ${bytes} bytes exceed ${MAX_VALUE_BYTES}`]);
  }
  const checked = documentSchema.safeParse(published.value);
  if (!checked.success) return Err(describeIssues(checked.error, "document"));
  return checkNamespace(checked.data, partner, name, kind);
}

function checkNamespace(
  document: ConfigurationDocument,
  partner: string,
  name: string,
  kind: ConfigurationDocument["kind"],
): Result<ConfigurationDocument, string[]> {
  const reasons: string[] = [];
  if (document.partner !== partner) {
    reasons.push(
      `document.partner: ${document.partner} may not set what belongs to ${partner}`,
    );
  }
  if (document.name !== name) {
    reasons.push(
      `document.name: ${document.name} differs from the key's ${name}`,
    );
  }
  if (document.kind !== kind && document.kind !== "withdrawn") {
    reasons.push(
      `document.kind: ${document.kind} may not stand in this folder`,
    );
  }
  return reasons.length > 0 ? Err(reasons) : Ok(document);
}
