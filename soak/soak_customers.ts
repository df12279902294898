/** Customer that owns the permanent key and the keys of single versions. */
export const CUSTOMER = "customer-1";
/** API key that every version of the configuration contains. */
export const PERMANENT_KEY = "key-lasting";
/** Customers that compete with it under hard load. */
export const COMPETING_CUSTOMERS = [
  "customer-2",
  "customer-3",
  "customer-4",
] as const;

const KEY_PREFIX = "key-of-";

/** Returns the key of a competing customer, which every version of a configuration for hard load contains.
 * @param customer Name of the customer. */
export function getKeyOf(customer: string): string {
  return `${KEY_PREFIX}${customer}`;
}

/** Returns the customer that owns a key.
 * @param key The key. */
export function getOwnerOf(key: string): string {
  return key.startsWith(KEY_PREFIX) ? key.slice(KEY_PREFIX.length) : CUSTOMER;
}

/** Whether every version of the configuration contains a key.
 * @param key The key. */
export function isPermanentKey(key: string): boolean {
  return key === PERMANENT_KEY || key.startsWith(KEY_PREFIX);
}
