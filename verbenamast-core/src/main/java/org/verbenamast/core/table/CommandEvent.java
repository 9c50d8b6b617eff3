package org.verbenamast.core.table;

/** What may happen to an operator's command about a change of the table. */
public enum CommandEvent {
    /** The command has come in. */
    START,
    /** The table service gave the rows that were asked for. */
    READ,
    /** The transaction took effect. */
    WRITTEN,
    /** The transaction did not take effect since a row had changed. */
    CONFLICTED,
    /** The table service gave no usable answer. */
    FAILED,
    /** It is time to try again. */
    RETRY_DUE
}
