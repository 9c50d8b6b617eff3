package org.verbenamast.ctl;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import io.vavr.control.Either;
import org.verbenamast.core.manifest.Manifest;
import org.verbenamast.core.manifest.check.Finding;
import org.verbenamast.core.manifest.check.ManifestChange;
import org.verbenamast.core.manifest.check.ManifestCheck;
import org.verbenamast.core.manifest.check.ManifestDifference;
import org.verbenamast.core.manifest.check.Severity;
import org.verbenamast.platform.DecodedManifest;
import org.verbenamast.platform.ManifestMessage;

/** Checks a manifest before operators send it to the platform. */
final class ManifestCommands {

    private static final int FILE_WORD = 2;

    private ManifestCommands() {}

    /**
     * The result of a check.
     *
     * @param findings what is wrong
     * @param changes what differs from the version in force; empty where none was given
     */
    private record Report(List<Finding> findings, List<ManifestChange> changes) {

        boolean isBlocking() {
            return findings.stream().anyMatch(finding -> finding.severity().isBlocking());
        }
    }

    static Either<CtlFault, ExitCode> check(Session session) {
        CtlOptions options = session.options();
        if (options.words.size() <= FILE_WORD) {
            return Either.left(CtlFault.shouldBeReadable("the command line", "the file of a manifest is needed"));
        }
        Either<CtlFault, DecodedManifest> next = read(options.words.get(FILE_WORD));
        Either<CtlFault, Optional<DecodedManifest>> inForce = options.against.isEmpty()
                ? Either.right(Optional.empty())
                : read(options.against).map(Optional::of);
        return next.flatMap(checked -> inForce.map(known -> print(session, report(checked, known))));
    }

    private static Either<CtlFault, DecodedManifest> read(String file) {
        try {
            return ManifestMessage.decode(Files.readAllBytes(Path.of(file)))
                    .mapLeft(fault -> CtlFault.shouldBeReadable(file, fault.detail()));
        } catch (IOException e) {
            return Either.left(CtlFault.shouldBeReadable(file, e.toString()));
        }
    }

    private static Report report(DecodedManifest next, Optional<DecodedManifest> inForce) {
        List<Finding> findings = new ArrayList<>();
        next.faults().forEach(fault -> findings.add(new Finding(Severity.ERROR, "entry", fault.detail())));
        findings.addAll(ManifestCheck.findings(next.manifest()));
        List<ManifestChange> changes = new ArrayList<>();
        if (inForce.isPresent()) {
            Manifest known = inForce.get().manifest();
            findings.addAll(ManifestCheck.replacementFindings(next.manifest(), known));
            changes.addAll(ManifestDifference.between(known, next.manifest()));
        }
        return new Report(findings, changes);
    }

    private static ExitCode print(Session session, Report report) {
        List<List<String>> rows = new ArrayList<>();
        report.findings()
                .forEach(finding -> rows.add(List.of(finding.severity().name(), finding.place(), finding.text())));
        report.changes().forEach(change -> rows.add(List.of("CHANGE", change.place(), change.text())));
        session.printer().print(report, List.of("WHAT", "WHERE", "TEXT"), rows);
        return report.isBlocking() ? ExitCode.REFUSED : ExitCode.OK;
    }
}
