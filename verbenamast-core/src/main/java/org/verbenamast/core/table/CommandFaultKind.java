package org.verbenamast.core.table;

/** Why an operator's command was not carried out. */
public enum CommandFaultKind {
    /** The operator is not in the settings. */
    UNKNOWN_OPERATOR,
    /** The signature is not the operator's for this command. */
    BAD_SIGNATURE,
    /** The content does not have the hash that was signed. */
    HASH_MISMATCH,
    /** The table has moved on since the version on which the change stands. */
    STALE_BASE,
    /** The change has other content than the one that was signed. */
    OTHER_CONTENT,
    /** The organisation has signed off this content already. */
    ALREADY_SIGNED,
    /** Only the other organisation may do this. */
    WRONG_ORGANISATION,
    /** The change is not open any more. */
    NOT_OPEN,
    /** There is a change with this id already. */
    CHANGE_EXISTS,
    /** There is no such change. */
    UNKNOWN_CHANGE,
    /** The change has taken as many commands as it may. */
    TOO_MANY_STEPS,
    /** Rows of the table have faults. */
    BAD_ROWS,
    /** A newer mark is in force. */
    STALE_MARK,
    /** The mark names a zone or backend server that no node knows. */
    UNKNOWN_SUBJECT,
    /** Other commands changed the same rows each time; the command had no effect. */
    CONTENDED,
    /** The table service did not answer; the command had no effect. */
    STORE_UNAVAILABLE,
    /** The table service did not answer; the command may have had its effect. */
    EFFECT_UNKNOWN
}
