package org.verbenamast.wire;

/** Bytes from outside can't be read as what they should be. */
public final class WireException extends Exception {

    private final WireFault fault;

    private WireException(WireFault fault, String message) {
        super(message);
        this.fault = fault;
    }

    /**
     * Returns the kind of fault.
     *
     * @return the kind
     */
    public WireFault fault() {
        return fault;
    }

    static WireException shouldHaveKnownKind() {
        return new WireException(WireFault.UNKNOWN_KIND, "the message should be of a known kind");
    }

    static WireException shouldHaveSender() {
        return new WireException(WireFault.MALFORMED, "the message should name its sender");
    }

    static WireException shouldHoldValidValues(RuntimeException cause) {
        return new WireException(WireFault.MALFORMED, "the message should hold valid values: " + cause.getMessage());
    }

    static WireException shouldBeReadableRow(String key, String cause) {
        return new WireException(WireFault.UNREADABLE_ROW, "row <%s> should be readable: %s".formatted(key, cause));
    }

    static WireException shouldBeReadableFrame(String cause) {
        return new WireException(WireFault.BROKEN_FRAME, "the frame should be a readable message: " + cause);
    }
}
