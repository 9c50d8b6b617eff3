package org.verbenamast.core.table;

import java.util.Objects;

import org.verbenamast.core.store.StoreFailure;
import org.verbenamast.core.store.StoreReply;

/**
 * The input of an event of the chart {@code command}.
 *
 * @param reply the reply of the table service
 * @param decision the decision made from the change that was read, or null for other events
 */
public record CommandInput(StoreReply reply, ChangeDecision decision) {

    /** The input of events without a reply. */
    public static final CommandInput NONE = new CommandInput(new StoreReply.Failed(StoreFailure.UNAVAILABLE), null);

    /** Validates the reply. */
    public CommandInput {
        Objects.requireNonNull(reply, "reply");
    }

    boolean effectUnknown() {
        return reply instanceof StoreReply.Failed failed && failed.failure().effectUnknown();
    }
}
