/** Opens listeners one after the other, until the node is stopped. Returns whether all are open. */
export const openInTurn = async (openings: readonly (() => Promise<void>)[], isStopping: () => boolean): Promise<boolean> => {
    for (const open of openings) {
        if (isStopping()) {
            return false;
        }
        await open();
    }
    return !isStopping();
};
