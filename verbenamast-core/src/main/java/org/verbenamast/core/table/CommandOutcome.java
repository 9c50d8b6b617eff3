package org.verbenamast.core.table;

/** How an operator's command ended. */
public enum CommandOutcome {
    /** The command took effect and is durable. */
    DONE,
    /** The same command took effect earlier; it was not applied again. */
    REPEATED,
    /** The mark is in force on the nodes, but the table service does not have it yet. */
    IN_FORCE_NOT_DURABLE,
    /** The command had no effect. */
    REFUSED,
    /** It is not known yet whether the command took effect. */
    UNKNOWN
}
