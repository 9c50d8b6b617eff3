package org.verbenamast.relay.net;

import java.util.Objects;

import org.verbenamast.core.client.ClientRefusal;

/** The decoder result of a request that is refused before it is decoded. */
public final class RefusedHeadException extends Exception {

    private static final long serialVersionUID = 1;

    private final ClientRefusal reason;

    RefusedHeadException(ClientRefusal reason) {
        super("should keep to the limits on clients, but was refused for " + reason);
        this.reason = Objects.requireNonNull(reason, "reason");
    }

    /**
     * Returns why the request is refused.
     *
     * @return the reason
     */
    public ClientRefusal reason() {
        return reason;
    }
}
