/** Why an entry of the directory names no upstream to use. */
export enum UpstreamFault {
    /** It is not an object with the fields of an entry. */
    Form = "form",
    /** Its ID cannot be sent in a header. */
    Id = "id",
    /** Its address is not that of one host and port. */
    Address = "address",
    /** A number is out of range. */
    Number = "number",
    /** A text or list is empty or too long. */
    Length = "length",
}
