/** Errors of `listen` that last as long as the process: its rights and the address families of the kernel are those of its start. */
const lastingListenErrors: ReadonlySet<string> = new Set(["EACCES", "EPERM", "EAFNOSUPPORT", "EPROTONOSUPPORT"]);

/** Whether a port that could not be listened on may become free without a restart. Codes that are not known count as passing: a further try harms nobody. */
export const mayListenLater = (code: string): boolean => !lastingListenErrors.has(code);
