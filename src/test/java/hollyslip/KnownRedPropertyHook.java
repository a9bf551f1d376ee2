package hollyslip;

import net.jqwik.api.lifecycle.LifecycleContext;
import net.jqwik.api.lifecycle.PropagationMode;
import net.jqwik.api.lifecycle.PropertyLifecycleContext;
import net.jqwik.api.lifecycle.SkipExecutionHook;

/** Skips the jqwik properties that are listed in {@code KNOWN-RED.txt}, as {@link KnownRedCondition} does for
 * Jupiter tests, which does not see properties. */
public final class KnownRedPropertyHook implements SkipExecutionHook {
  @Override
  public SkipResult shouldBeSkipped(LifecycleContext context) {
    boolean skip = context instanceof PropertyLifecycleContext property && KnownRedCondition.isKnownRed(
        property
            .containerClass()
            .getName() + "#" + property.targetMethod().getName());
    return skip ? SkipResult.skip("listed in KNOWN-RED.txt") : SkipResult.doNotSkip();
  }

  @Override
  public PropagationMode propagateTo() {
    return PropagationMode.ALL_DESCENDANTS;
  }
}
