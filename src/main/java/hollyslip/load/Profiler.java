package hollyslip.load;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import one.profiler.AsyncProfiler;

/** Profiles a piece of work with async-profiler, sampling by timer, which needs no privileges, and reports a
 * table by thread and method and a flame graph. */
public final class Profiler {
  private static final int WIDTH = 1600, ROW_HEIGHT = 16, MIN_FRAME_WIDTH = 2;

  /** A frame of the flame graph: its samples including those of its callees, and the callees by name. */
  private static final class Frame {
    long samples;
    final Map<String, Frame> callees = new TreeMap<>();
  }

  /** Work to be profiled. */
  public interface Work {
    void run() throws Exception;
  }

  private Profiler() {}

  /** Runs {@code work} under the profiler.
   *
   * @param event
   *          what to sample: {@code itimer} for CPU time, {@code alloc} for allocated bytes
   * @param folder
   *          receives {@code NAME.collapsed} and {@code NAME.svg}
   * @throws IOException
   *           if the profiler cannot be used on this machine, or the files cannot be written */
  public static void run(String event, Path folder, String name, Work work) throws Exception {
    Files.createDirectories(folder);
    Path collapsed = folder.resolve(name + ".collapsed");
    AsyncProfiler profiler = AsyncProfiler.getInstance();
    String options = event.equals("alloc") ? "alloc=64k" : "event=itimer,interval=1ms";
    profiler.execute("start," + options + ",threads,cstack=vm");
    work.run();
    profiler.execute("stop,file=" + collapsed + ",collapsed,total");
    List<String> lines = Files.readAllLines(collapsed);
    Files.writeString(folder.resolve(name + ".svg"), svg(callTree(lines), name));
    System.out.print(table(lines));
  }

  private static Frame callTree(List<String> lines) {
    Frame root = new Frame();
    for (String line : lines) {
      int space = line.lastIndexOf(' ');
      long samples = Long.parseLong(line.substring(space + 1));
      Frame frame = root;
      frame.samples += samples;
      for (String name : line.substring(0, space).split(";")) {
        frame = frame.callees.computeIfAbsent(name, k -> new Frame());
        frame.samples += samples;
      }
    }
    return root;
  }

  /** Formats the share of samples by thread, and within each thread by top frame. */
  static String table(List<String> lines) {
    Map<String, Map<String, Long>> threads = new TreeMap<>();
    long sampleCount = 0;
    for (String line : lines) {
      int space = line.lastIndexOf(' ');
      long samples = Long.parseLong(line.substring(space + 1));
      String[] frames = line.substring(0, space).split(";");
      String thread = frames[0].replaceAll("[0-9]+|tid=|\\[|\\]", "").strip();
      threads.computeIfAbsent(thread, k -> new TreeMap<>())
          .merge(frames[frames.length - 1], samples, Long::sum);
      sampleCount += samples;
    }
    StringBuilder text = new StringBuilder();
    long total = Math.max(1, sampleCount);
    threads.entrySet()
        .stream()
        .sorted((a, b) -> Long.compare(sum(b.getValue()), sum(a.getValue())))
        .limit(8)
        .forEach(byThread -> {
          text.append(String.format(Locale.ROOT, "%5.1f%%  %s%n", 100.0 * sum(byThread.getValue()) / total,
              byThread
                  .getKey()));
          byThread.getValue()
              .entrySet()
              .stream()
              .sorted(Map.Entry.<String, Long>comparingByValue().reversed())
              .limit(14)
              .forEach(method -> text.append(String.format(Locale.ROOT, "        %5.1f%%  %s%n", 100.0
                  * method
                      .getValue() / total, method.getKey())));
        });
    return text.toString();
  }

  private static long sum(Map<String, Long> samplesByMethod) {
    return samplesByMethod.values().stream().mapToLong(n -> n).sum();
  }

  /** Renders the flame graph: one box per frame, its width proportional to its samples. */
  static String svg(Frame root, String title) {
    List<String> boxes = new ArrayList<>();
    int depth = drawFrame(root, title, 0, WIDTH, 0, Math.max(1, root.samples), boxes);
    StringBuilder svg = new StringBuilder(String.format("<svg xmlns='http://www.w3.org/2000/svg' width='%d' "
        + "height='%d' font-family='monospace' font-size='11'>%n", WIDTH, (depth + 1) * ROW_HEIGHT));
    boxes.forEach(box -> svg.append(box).append('\n'));
    return svg.append("</svg>\n").toString();
  }

  private static int drawFrame(Frame frame, String name, double x, double width, int row, long totalSamples,
      List<String> boxes) {
    String escapedName = name.replace("&", "&amp;")
        .replace("<", "&lt;")
        .replace(">", "&gt;")
        .replace("'", "&apos;");
    int maxChars = (int) (width / 7);
    boxes.add(String.format(Locale.ROOT,
        "<g><title>%s %.1f%%</title><rect x='%.1f' y='%d' width='%.1f' height='%d' fill='hsl(%d,60%%,70%%)' "
            + "stroke='white' stroke-width='0.5'/><text x='%.1f' y='%d'>%s</text></g>", escapedName, 100.0
                * frame.samples
                / totalSamples, x, row * ROW_HEIGHT, width, ROW_HEIGHT, Math.floorMod(name.hashCode(), 60), x
                    + 2, row
                        * ROW_HEIGHT + 12,
        maxChars < 4
            ? ""
            : escapedName.length() <= maxChars ? escapedName : escapedName.substring(0, maxChars)));
    int lastRow = row;
    double calleeX = x;
    for (Map.Entry<String, Frame> callee : frame.callees.entrySet()) {
      double calleeWidth = width * callee.getValue().samples / Math.max(1, frame.samples);
      if (calleeWidth >= MIN_FRAME_WIDTH) {
        lastRow = Math.max(lastRow, drawFrame(callee.getValue(), callee.getKey(), calleeX, calleeWidth, row
            + 1, totalSamples, boxes));
      }
      calleeX += calleeWidth;
    }
    return lastRow;
  }
}
