package org.verbenamast.ctl;

/** The codes with which a command exits. */
public enum ExitCode {
    /** The command was carried out. */
    OK(0),
    /** The command was refused; nothing was changed. */
    REFUSED(1),
    /** The command line, a settings file or a table file has faults. */
    BAD_INPUT(2),
    /** No node answered, or nobody can tell whether the command had its effect. */
    UNREACHABLE(3);

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
