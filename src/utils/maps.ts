/** The value of a key, created on first use. */
export const getOrCreate = <K, V>(map: Map<K, V>, key: K, create: () => V): V => {
    let value = map.get(key);
    if (value === undefined) {
        value = create();
        map.set(key, value);
    }
    return value;
};

/** Groups items by a key, in their order. */
export const groupBy = <K, V>(items: Iterable<V>, keyOf: (item: V) => K): ReadonlyMap<K, readonly V[]> => {
    const groups = new Map<K, V[]>();
    for (const item of items) {
        getOrCreate(groups, keyOf(item), () => []).push(item);
    }
    return groups;
};
