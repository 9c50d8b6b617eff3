package org.verbenamast.core.table;

/** The kinds of reasons why an operator's command was refused or its effect is unknown. */
public enum CommandFaultKind {
    /** The operator is not listed in the settings. */
    UNKNOWN_OPERATOR,
    /** The signature is not a valid signature of the command by the operator. */
    BAD_SIGNATURE,
    /** The hash of the content differs from the signed hash. */
    HASH_MISMATCH,
    /** The change or command is not based on the version of the table in force. */
    STALE_BASE,
    /** The command refers to content other than the current content of the change. */
    OTHER_CONTENT,
    /** The operator's organisation has already approved this content. */
    ALREADY_SIGNED,
    /** Only the other organisation may issue the command. */
    WRONG_ORGANISATION,
    /** The change is closed. */
    NOT_OPEN,
    /** A change with this id already exists. */
    CHANGE_EXISTS,
    /** No change has this id. */
    UNKNOWN_CHANGE,
    /** The change has reached {@link ChangeRow#MAX_STEPS}. */
    TOO_MANY_STEPS,
    /** Rows of the content are invalid. */
    BAD_ROWS,
    /** The counter of the mark is not greater than that of the mark in force. */
    STALE_MARK,
    /** The mark names a zone or backend server that no node knows. */
    UNKNOWN_SUBJECT,
    /** Each attempt conflicted with other commands on the same rows; the command had no effect. */
    CONTENDED,
    /** The table service did not answer; the command had no effect. */
    STORE_UNAVAILABLE,
    /** The table service did not answer; the command may have taken effect. */
    EFFECT_UNKNOWN
}
