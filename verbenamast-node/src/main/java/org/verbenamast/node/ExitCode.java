package org.verbenamast.node;

/** The codes with which the node exits. */
public enum ExitCode {
    /** The node stopped as asked. */
    OK(0),
    /** The node failed while running. */
    FAILED(1),
    /** The command line or the settings have faults. */
    BAD_INPUT(2),
    /** The node may not serve any more; the host is to start it again, as another incarnation. */
    ENDED(3);

    private final int code;

    ExitCode(int code) {
        this.code = code;
    }

    /**
     * Returns the code for the operating system.
     *
     * @return the code
     */
    public int code() {
        return code;
    }
}
