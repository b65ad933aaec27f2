/** Name of the command that reloads its settings on SIGHUP. */
const reloadingCommand = "serve-platform";

let reload: ((isEarly: boolean) => void) | undefined;
let isReloadPending = false;

// A process without a handler ends on SIGHUP, so this module is imported before those that take time to load.
if (process.argv[2] === reloadingCommand) {
    process.on("SIGHUP", () => {
        isReloadPending = reload === undefined;
        reload?.(false);
    });
}

/** Calls the handler on SIGHUP, and once at once, as early, if the signal has already arrived. */
export const onReloadSignal = (handler: (isEarly: boolean) => void): void => {
    reload = handler;
    if (isReloadPending) {
        isReloadPending = false;
        handler(true);
    }
};
