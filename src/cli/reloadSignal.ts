/** Name of the command that reloads its settings on SIGHUP. */
const reloadingCommand = "serve-platform";

let reload: (() => void) | undefined;
let isReloadPending = false;

// A process without a handler ends on SIGHUP, so this module is imported before those that take time to load.
if (process.argv[2] === reloadingCommand) {
    process.on("SIGHUP", () => {
        isReloadPending = reload === undefined;
        reload?.();
    });
}

/** Calls the handler on SIGHUP, and once at once if the signal has already arrived. */
export const onReloadSignal = (handler: () => void): void => {
    reload = handler;
    if (isReloadPending) {
        isReloadPending = false;
        handler();
    }
};
