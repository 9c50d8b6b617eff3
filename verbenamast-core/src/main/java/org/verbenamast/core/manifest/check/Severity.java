package org.verbenamast.core.manifest.check;

/** What a finding means for callers. */
public enum Severity {
    /** Requests are refused or lost, or an entry has no effect. */
    ERROR(true),
    /** The entry works, but probably not as intended. */
    WARNING(false);

    private final boolean blocking;

    Severity(boolean blocking) {
        this.blocking = blocking;
    }

    /**
     * Returns whether the manifest should not be sent.
     *
     * @return whether the finding has to be mended first
     */
    public boolean isBlocking() {
        return blocking;
    }
}
