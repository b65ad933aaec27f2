import type { RecordId } from "../types/config";

const sequenceDigits = 12;

/** Row of the change feed's newest sequence number. */
export const headKey = "config/head";
/** Prefix of the rows of the change feed. */
export const changePrefix = "config/change/";
/** Prefix of the rows that hold the records. */
export const recordPrefix = "config/record/";

/** Row of one change; keys sort by sequence. */
export const changeKey = (sequence: number): string => `${changePrefix}${String(sequence).padStart(sequenceDigits, "0")}`;
/** Row of one record. */
export const recordKey = ({ kind, name }: RecordId): string => `${recordPrefix}${kind}/${name}`;
/** Row that tells whether an operation took effect. */
export const operationKey = (operationId: string): string => `config/operation/${operationId}`;
