package org.verbenamast.wire.relay;

import java.util.function.Supplier;

import io.vavr.control.Either;
import org.verbenamast.core.check.InvalidValueException;
import org.verbenamast.core.tenant.CapGrant;
import org.verbenamast.core.tenant.CapReport;
import org.verbenamast.core.tenant.CapStamp;
import org.verbenamast.wire.WireException;
import org.verbenamast.wire.generated.RelayCapDemand;
import org.verbenamast.wire.generated.RelayCapGrant;
import org.verbenamast.wire.generated.RelayCapReport;
import org.verbenamast.wire.generated.RelayCapTokens;
import org.verbenamast.wire.generated.RelayFrame;

/** Frames between nodes and the bank of the tenants' caps, to and from the types of the decisions. */
public final class CapFrames {

    private static final double PER_THOUSAND_SECONDS = 1_000;

    private CapFrames() {}

    /**
     * Encodes a report.
     *
     * @param report the report
     * @return the frame
     */
    public static RelayFrame report(CapReport report) {
        RelayCapReport.Builder message = RelayCapReport.newBuilder()
                .setNode(report.node())
                .setNumber(report.number())
                .setManifestVersion(report.manifestVersion())
                .setMembers(report.members())
                .setEchoIncarnation(report.echo().incarnation())
                .setEchoAt(report.echo().at())
                .setEchoAgeMillis(report.echoAgeMillis());
        for (CapReport.Demand demand : report.demands()) {
            message.addDemands(RelayCapDemand.newBuilder()
                    .setTenant(demand.tenant())
                    .setWaiting(demand.waiting())
                    .setAdvance(demand.advance())
                    .setPerThousandSeconds(Math.round(demand.perSecond() * PER_THOUSAND_SECONDS)));
        }
        return RelayFrame.newBuilder().setCapReport(message).build();
    }

    /**
     * Decodes a report.
     *
     * @param message the message
     * @return the report, or why it can't be one
     */
    public static Either<WireException, CapReport> report(RelayCapReport message) {
        return valid(() -> new CapReport(
                message.getNode(),
                message.getNumber(),
                message.getManifestVersion(),
                message.getMembers(),
                new CapStamp(message.getEchoIncarnation(), message.getEchoAt()),
                message.getEchoAgeMillis(),
                message.getDemandsList().stream()
                        .map(demand -> new CapReport.Demand(
                                demand.getTenant(),
                                demand.getWaiting(),
                                demand.getAdvance(),
                                demand.getPerThousandSeconds() / PER_THOUSAND_SECONDS))
                        .toList()));
    }

    private static <T> Either<WireException, T> valid(Supplier<T> decoder) {
        try {
            return Either.right(decoder.get());
        } catch (InvalidValueException e) {
            return Either.left(WireException.shouldHoldValidValues(e));
        }
    }

    /**
     * Encodes a bank's answer.
     *
     * @param grant the answer
     * @return the frame
     */
    public static RelayFrame grant(CapGrant grant) {
        RelayCapGrant.Builder message = RelayCapGrant.newBuilder()
                .setBank(grant.bank())
                .setNumber(grant.number())
                .setManifestVersion(grant.manifestVersion())
                .setStampIncarnation(grant.stamp().incarnation())
                .setStampAt(grant.stamp().at());
        for (CapGrant.Tokens tokens : grant.tenants()) {
            message.addTokens(RelayCapTokens.newBuilder()
                    .setTenant(tokens.tenant())
                    .setAmount(tokens.amount())
                    .setLifeMillis(tokens.lifeMillis())
                    .setRetryMillis(tokens.retryMillis()));
        }
        return RelayFrame.newBuilder().setCapGrant(message).build();
    }

    /**
     * Decodes a bank's answer.
     *
     * @param message the message
     * @return the answer, or why it can't be one
     */
    public static Either<WireException, CapGrant> grant(RelayCapGrant message) {
        return valid(() -> new CapGrant(
                message.getBank(),
                message.getNumber(),
                message.getManifestVersion(),
                new CapStamp(message.getStampIncarnation(), message.getStampAt()),
                message.getTokensList().stream()
                        .map(tokens -> new CapGrant.Tokens(
                                tokens.getTenant(),
                                tokens.getAmount(),
                                tokens.getLifeMillis(),
                                tokens.getRetryMillis()))
                        .toList()));
    }
}
