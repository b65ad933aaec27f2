import type { RowStore } from "../../src/types/rowStore";
import type { MemoryPlatformStore } from "./memoryPlatformStore";

/** A store whose feed answers after a delay, so that a follower on a paused clock does not poll it without end. */
export const delayFeed = (store: MemoryPlatformStore, delayMs: number): RowStore => ({
    readTable: store.readTable.bind(store),
    readRow: store.readRow.bind(store),
    transact: store.transact.bind(store),
    feed: async (table, after) => {
        await new Promise(resolve => setTimeout(resolve, delayMs));
        return store.feed(table, after);
    },
});
