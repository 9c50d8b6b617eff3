package org.verbenamast.core.manifest.check;

import java.util.ArrayList;
import java.util.List;

import org.verbenamast.core.manifest.Manifest;

/** Checks a manifest before it is sent. */
public final class ManifestCheck {

    private ManifestCheck() {}

    /**
     * Checks a manifest against all rules.
     *
     * @param manifest the manifest
     * @return the findings in the order of the rules; empty where there are none
     */
    public static List<Finding> findings(Manifest manifest) {
        List<Finding> findings = new ArrayList<>();
        for (ManifestRule rule : ManifestRule.values()) {
            rule.check(manifest, findings::add);
        }
        return findings;
    }

    /**
     * Checks whether a manifest can replace the one in force.
     *
     * @param manifest the manifest
     * @param inForce the manifest in force
     * @return the findings; empty where it can
     */
    public static List<Finding> replacementFindings(Manifest manifest, Manifest inForce) {
        if (manifest.version() > inForce.version()) {
            return List.of();
        }
        return List.of(Finding.error(
                "version",
                "%d never takes force: it should be higher than %d, which is in force"
                        .formatted(manifest.version(), inForce.version())));
    }
}
