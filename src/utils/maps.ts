/** The value of a key, created on first use. */
export const getOrCreate = <K, V>(map: Map<K, V>, key: K, create: () => V): V => {
    let value = map.get(key);
    if (value === undefined) {
        value = create();
        map.set(key, value);
    }
    return value;
};
