package dewlane;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.methods;

import com.tngtech.archunit.core.domain.JavaCodeUnit;
import com.tngtech.archunit.core.domain.JavaMethod;
import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.junit.AnalyzeClasses;
import com.tngtech.archunit.junit.ArchTest;
import com.tngtech.archunit.lang.ArchCondition;
import com.tngtech.archunit.lang.ArchRule;
import com.tngtech.archunit.lang.ConditionEvents;
import com.tngtech.archunit.lang.SimpleConditionEvent;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashSet;
import java.util.Set;

/**
 * Guards against stack overflows: no method of the core or of the codecs may call itself, directly or through others,
 * as users' jobs would decide how often. Calls of interfaces' methods are not followed to their implementations.
 */
@AnalyzeClasses(packages = "dewlane", importOptions = ImportOption.DoNotIncludeTests.class)
class NoRecursionTest {
    /** Writes fields of stored values that only a newer version uses, whose depth the parser limits. */
    private static final Set<String> ALLOWED = Set.of("dewlane.wire.Json.writeValue");

    @ArchTest
    static final ArchRule METHODS_DO_NOT_CALL_THEMSELVES = methods()
            .that()
            .areDeclaredInClassesThat()
            .resideInAnyPackage("dewlane.core..", "dewlane.wire..")
            .should(new ArchCondition<>("not call themselves") {
                @Override
                public void check(JavaMethod method, ConditionEvents events) {
                    boolean isAllowed = ALLOWED.contains(method.getOwner().getName() + "." + method.getName());
                    if (!isAllowed && isReachableFromItself(method)) {
                        events.add(SimpleConditionEvent.violated(method, method.getFullName() + " calls itself"));
                    }
                }
            });

    private static boolean isReachableFromItself(JavaCodeUnit method) {
        Set<JavaCodeUnit> visited = new HashSet<>();
        Deque<JavaCodeUnit> queue = new ArrayDeque<>();
        queue.add(method);
        while (!queue.isEmpty()) {
            JavaCodeUnit current = queue.poll();
            for (JavaCodeUnit called : calledBy(current)) {
                if (called.equals(method)) {
                    return true;
                }
                if (visited.add(called)) {
                    queue.add(called);
                }
            }
        }
        return false;
    }

    private static Set<JavaCodeUnit> calledBy(JavaCodeUnit caller) {
        Set<JavaCodeUnit> called = new HashSet<>();
        caller.getCallsFromSelf()
                .forEach(call -> call.getTarget().resolveMember().ifPresent(called::add));
        caller.getCodeUnitReferencesFromSelf()
                .forEach(reference -> reference.getTarget().resolveMember().ifPresent(called::add));
        return called;
    }
}
