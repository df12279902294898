import type { ConfigurationDocument, Parameters } from "./document_schema.ts";
import type { DocumentStore } from "./document_store.ts";
import type { Customer } from "./customer.ts";

const DEFAULT_PRIORITY = 5;
const DEFAULT_CAPACITY_SHARE = 0.01;

/** An immutable snapshot of the customers that the accepted documents define. */
export class CustomerDirectory {
  private constructor(
    private readonly customers: ReadonlyMap<string, Customer>,
  ) {}

  /** Builds the directory from the accepted documents.
   * @param store The accepted documents. */
  static create(store: DocumentStore): CustomerDirectory {
    const documents = [...store.getDocuments().values()].map((entry) =>
      entry.document
    );
    const templatesByKey = new Map<string, Parameters>();
    for (const document of documents) {
      if (document.kind === "template") {
        templatesByKey.set(
          `${document.partner}/${document.name}`,
          document.parameters,
        );
      }
    }
    const customers = documents
      .map((document) => resolveCustomer(document, templatesByKey))
      .filter((customer) => customer !== undefined);
    return new CustomerDirectory(
      new Map(customers.map((customer) => [customer.id, customer])),
    );
  }

  /** Returns a customer, or undefined if no current document defines it or its template is missing.
   * @param id `<partner>/<name>`. */
  getCustomer(id: string): Customer | undefined {
    return this.customers.get(id);
  }

  /** Number of customers. */
  get size(): number {
    return this.customers.size;
  }
}

function resolveCustomer(
  document: ConfigurationDocument,
  templatesByKey: ReadonlyMap<string, Parameters>,
): Customer | undefined {
  if (document.kind !== "customer") return undefined;
  const template = templatesByKey.get(
    `${document.partner}/${document.template}`,
  );
  if (!template) return undefined;
  const parameters = { ...template, ...document.parameters };
  return {
    id: `${document.partner}/${document.name}`,
    partner: document.partner,
    models: parameters.models ?? [],
    adapters: parameters.adapters ?? [],
    services: parameters.services ?? [],
    priority: parameters.priority ?? DEFAULT_PRIORITY,
    capacityShare: parameters.capacityShare ?? DEFAULT_CAPACITY_SHARE,
  };
}
