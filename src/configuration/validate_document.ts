import { Err, Ok, type Result } from "ts-results-es";
import { formatIssues } from "../settings/format_issues.ts";
import {
  type ConfigurationDocument,
  documentSchema,
  type PublishedValue,
} from "./document_schema.ts";

/** The document kind that each folder of the key space holds. */
const KINDS_BY_FOLDER: Readonly<Record<string, ConfigurationDocument["kind"]>> =
  {
    templates: "template",
    customers: "customer",
    assignments: "assignment",
  };

/** Largest accepted size of a value, serialized as JSON. */
export const MAX_VALUE_BYTES = 1_000_000;

/** Validates a published value.
 * The result depends only on the key and the value, so all routers decide alike, whatever they received before.
 * @param published The value with its key.
 * @returns The document, or all reasons for refusing it. */
export function validateDocument(
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
    return Err([
      `document: ${bytes} bytes exceed ${MAX_VALUE_BYTES}`,
    ]);
  }
  const checked = documentSchema.safeParse(published.value);
  if (!checked.success) return Err(formatIssues(checked.error, "document"));
  return checkAgainstKey(checked.data, partner, name, kind);
}

/** Checks that the partner, name and kind of a document match the key that it was published under. */
function checkAgainstKey(
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
