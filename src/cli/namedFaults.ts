/** Faults that a log line names, and the length of each. */
const maxNamed = 5;
const maxLength = 300;

/** The faults of a settings file as a log line has them: the first few, and how many there are beside. */
export const namedFaults = (faults: readonly string[]): readonly string[] => [
    ...faults.slice(0, maxNamed).map(fault => fault.length > maxLength ? `${fault.slice(0, maxLength)}...` : fault),
    ...faults.length > maxNamed ? [`${faults.length - maxNamed} more`] : [],
];
