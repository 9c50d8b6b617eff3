package org.verbenamast.core.table;

import java.util.List;

/** A test operator with a key that signs commands. */
record TestSigner(Operator operator, OperatorKey key) {

    static final TestSigner ANI = of("ani", "jawa");
    static final TestSigner BUDI = of("budi", "jawa");
    static final TestSigner RAMI = of("rami", "amman");
    static final TestSigner SALMA = of("salma", "amman");
    static final List<TestSigner> ALL = List.of(ANI, BUDI, RAMI, SALMA);
    static final Operators OPERATORS =
            new Operators(ALL.stream().map(TestSigner::operator).toList());

    private static TestSigner of(String name, String organisation) {
        OperatorKey key = OperatorKey.generate();
        Operator operator = new Operator(new OperatorName(name), new Organisation(organisation), key.publicKey());
        return new TestSigner(operator, key);
    }

    ChangeCommand propose(String operation, String change, long base, TableContent content) {
        return command(ChangeCommandKind.PROPOSE, operation, change, base, content, ContentHash.NONE);
    }

    ChangeCommand edit(String operation, String change, long base, TableContent from, TableContent to) {
        return command(ChangeCommandKind.EDIT, operation, change, base, to, from.hash());
    }

    ChangeCommand approve(String operation, String change, long base, TableContent content) {
        return command(ChangeCommandKind.APPROVE, operation, change, base, content, ContentHash.NONE);
    }

    ChangeCommand command(
            ChangeCommandKind kind,
            String operation,
            String change,
            long base,
            TableContent content,
            ContentHash replaces) {
        ChangeCommand unsigned = new ChangeCommand(
                kind,
                operation,
                operator.name(),
                new ChangeId(change),
                base,
                content.hash(),
                replaces,
                kind.carriesContent() ? content : TableContent.EMPTY,
                "busy Monday",
                "2026-12-04T09:00:00Z",
                "");
        return unsigned.withSignature(key.sign(unsigned.signedText()));
    }

    MarkRow mark(MarkState state, String subject, long counter, String operation) {
        MarkRow unsigned =
                new MarkRow(MarkSubject.parse(subject), state, counter, operator.name(), "cabling", "", operation, "");
        return unsigned.withSignature(key.sign(unsigned.signedText()));
    }
}
