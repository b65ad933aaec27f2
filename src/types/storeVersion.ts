/**
 * A point in the history of the platform's store. The store's own counter goes back when the store is restored from an older copy, and its numbers are given
 * out again; its era rises then. A version holds both, the era in the higher digits, so that versions of different eras compare by `<` as their points in time do.
 */
export type StoreVersion = number;

/** Numbers of the store's counter in one era. */
const versionsPerEra = 1_000_000_000_000;
/** Limits within which a version is an exact number. */
export const maxStoreCounter = versionsPerEra - 1;
export const maxStoreEra = Math.floor(Number.MAX_SAFE_INTEGER / versionsPerEra) - 1;

/** The first era of a store: it has not been restored yet. Stores that name no era count as era 0. */
export const firstStoreEra = 1;

/** Creates a version from a number of the store's counter. */
export const createStoreVersion = (era: number, counter: number): StoreVersion => era * versionsPerEra + counter;

/** The era of a version. */
export const eraOf = (version: StoreVersion): number => Math.floor(version / versionsPerEra);

/** The number of the store's counter. */
export const counterOf = (version: StoreVersion): number => version % versionsPerEra;

/** Version of a row that is absent in the era of another version. */
export const absentVersionIn = (version: StoreVersion): StoreVersion => createStoreVersion(eraOf(version), 0);
