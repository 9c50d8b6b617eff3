package org.verbenamast.core.table;

/** How an operator's command ended. */
public enum CommandOutcome {
    /** The command took effect and is kept. */
    DONE,
    /** The command had taken effect before; it was not repeated. */
    REPEATED,
    /** The mark is in force, but the table service does not have it yet. */
    IN_FORCE_NOT_DURABLE,
    /** The command had no effect. */
    REFUSED,
    /** Nobody can tell yet whether the command had its effect. */
    UNKNOWN
}
