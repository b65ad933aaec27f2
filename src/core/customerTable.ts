import { createHash } from "node:crypto";
import type { Customer, CustomerSpec } from "../types/customer";

const digestOf = (bytes: Buffer): string => createHash("sha256").update(bytes).digest("hex");

/** SHA-256 of a key as operators declare it, in lower-case hexadecimal. */
export const declaredKeyDigest = (key: string): string => digestOf(Buffer.from(key, "utf8"));

/** SHA-256 of a key as a caller sends it. The runtime decodes each byte of a header to one character. */
export const sentKeyDigest = (key: string): string => digestOf(Buffer.from(key, "latin1"));

/** Finds the customer of a key by the key's digest, so that no key is compared or kept. */
export class CustomerTable {
    private readonly byDigest = new Map<string, Customer>();
    /** Number of customers. */
    readonly size: number;

    private constructor(customers: readonly CustomerSpec[]) {
        this.size = customers.length;
        for (const { apiKeys, ...customer } of customers) {
            apiKeys.forEach(key => this.byDigest.set(declaredKeyDigest(key), customer));
        }
    }

    /** Indexes the customers of a configuration. */
    static create(customers: readonly CustomerSpec[]): CustomerTable {
        return new CustomerTable(customers);
    }

    /** Number of keys. */
    get keys(): number {
        return this.byDigest.size;
    }

    /** The customer whose key has this digest. */
    find(digest: string | undefined): Customer | undefined {
        return digest === undefined ? undefined : this.byDigest.get(digest);
    }
}
