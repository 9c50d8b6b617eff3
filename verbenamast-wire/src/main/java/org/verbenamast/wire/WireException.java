package org.verbenamast.wire;

import org.verbenamast.core.model.MemberId;

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

    /**
     * Makes the failure for a connection that is meant for another member.
     *
     * @param wanted the member that it is meant for
     * @param self the member that accepted it
     * @return the failure
     */
    public static WireException shouldBeMeantFor(MemberId wanted, MemberId self) {
        String message = "the connection should be meant for <%s> but is meant for <%s>".formatted(self, wanted);
        return new WireException(WireFault.MISADDRESSED, message);
    }

    static WireException shouldHaveSender() {
        return new WireException(WireFault.MALFORMED, "the message should name its sender");
    }

    /**
     * Makes the failure of a message with a value that is not allowed.
     *
     * @param cause what is wrong with it
     * @return the failure
     */
    public static WireException shouldHoldValidValues(RuntimeException cause) {
        return new WireException(WireFault.MALFORMED, "the message should hold valid values: " + cause.getMessage());
    }

    /**
     * Makes the failure of a row that can't be read.
     *
     * @param key the row's key
     * @param cause why
     * @return the failure
     */
    public static WireException shouldBeReadableRow(String key, String cause) {
        return new WireException(WireFault.UNREADABLE_ROW, "row <%s> should be readable: %s".formatted(key, cause));
    }

    static WireException shouldBeReadableFrame(String cause) {
        return new WireException(WireFault.BROKEN_FRAME, "the frame should be a readable message: " + cause);
    }
}
