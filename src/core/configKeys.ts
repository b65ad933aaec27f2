import type { RecordId } from "../types/config";

const sequenceDigits = 12;

/** Key of the row that holds the change feed's newest sequence number. */
export const headKey = "config/head";
/** Key prefix of the rows of the change feed. */
export const changePrefix = "config/change/";
/** Key prefix of the record rows. */
export const recordPrefix = "config/record/";

/** Row key of a change; zero-padded, so that keys sort by sequence. */
export const changeKey = (sequence: number): string => `${changePrefix}${String(sequence).padStart(sequenceDigits, "0")}`;
/** Row key of a record. */
export const recordKey = ({ kind, name }: RecordId): string => `${recordPrefix}${kind}/${name}`;
/** Row key of an operation's outcome; the row exists once the operation has been committed. */
export const operationKey = (operationId: string): string => `config/operation/${operationId}`;
