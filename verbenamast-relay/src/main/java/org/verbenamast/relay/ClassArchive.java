package org.verbenamast.relay;

/** The archive of parsed classes that the Java virtual machine maps at its start. */
final class ClassArchive {

    private ClassArchive() {}

    /**
     * Returns whether the virtual machine uses an archive. It refuses one of another build or another Java without a
     * word, and then starts without any.
     *
     * @param vmInfo the system property {@code java.vm.info}
     * @return whether an archive is in use
     */
    static boolean isInUse(String vmInfo) {
        return vmInfo.contains("sharing");
    }
}
