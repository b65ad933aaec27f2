/** The platform's object store. */
export interface ObjectStore {
    get(name: string): Promise<unknown>;
    put(name: string, value: unknown): Promise<void>;
}
