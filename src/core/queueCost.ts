/** Worth a second that the requests earn which take up one runner. */
export const valuePerRunner = 10;

/** Worth a second that is lost at a runner by its utilisation: requests wait for each other's prompts, and miss their target. */
export const queueCost = (utilisation: number): number => {
    const bounded = Math.max(0, utilisation);
    // Half of the requests are lost at a utilisation of 1, nearly none at a third, and never more than all.
    const lostShare = bounded ** 3 / (1 + bounded ** 3);
    return valuePerRunner * bounded * lostShare;
};
