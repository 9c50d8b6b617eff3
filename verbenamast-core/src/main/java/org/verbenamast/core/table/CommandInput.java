package org.verbenamast.core.table;

import java.util.Objects;

import org.verbenamast.core.store.StoreFailure;
import org.verbenamast.core.store.StoreReply;

/**
 * What an event tells an operator's command.
 *
 * @param reply the answer of the table service
 * @param decision what the command does by the rows in the answer, or null where the event is not about the change
 */
public record CommandInput(StoreReply reply, ChangeDecision decision) {

    /** The input of events that tell nothing. */
    public static final CommandInput NONE = new CommandInput(new StoreReply.Failed(StoreFailure.UNAVAILABLE), null);

    /** Checks the answer. */
    public CommandInput {
        Objects.requireNonNull(reply, "reply");
    }

    boolean effectUnknown() {
        return reply instanceof StoreReply.Failed failed && failed.failure().effectUnknown();
    }
}
