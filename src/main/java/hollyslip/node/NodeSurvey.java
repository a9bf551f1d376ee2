package hollyslip.node;

import hollyslip.recovery.EpochElection.NodeView;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.AsynchronousChannelGroup;
import java.nio.channels.AsynchronousSocketChannel;
import java.nio.channels.CompletionHandler;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Queries the nodes for the holder of a gateway's name before that gateway takes its epoch. Changes nothing
 * at the nodes (NBD_OPT_LIST_META_CONTEXT, then NBD_OPT_ABORT). */
public final class NodeSurvey {
  private static final Logger LOG = LoggerFactory.getLogger(NodeSurvey.class);

  private NodeSurvey() {}

  /** Returns the view of each node by its name; nodes that do not answer in time or do not support this
   * project's contexts are left out.
   *
   * @param timeoutUs
   *          time limit for all of them together, us */
  public static Map<String, NodeView> queryHolders(Collection<NodePool.Address> nodes, String client,
      long timeoutUs)
      throws IOException {
    AsynchronousChannelGroup group = AsynchronousChannelGroup.withFixedThreadPool(1, r -> {
      Thread t = Executors.defaultThreadFactory().newThread(r);
      t.setName("node-survey");
      t.setDaemon(true);
      return t;
    });
    try {
      List<NodeQuery> queries = new ArrayList<>();
      for (NodePool.Address node : nodes) {
        queries.add(new NodeQuery(group, node, client));
      }
      Map<String, NodeView> views = new HashMap<>();
      long deadlineNs = System.nanoTime() + timeoutUs * 1_000;
      for (NodeQuery query : queries) {
        NodeView view = query.awaitResult(deadlineNs - System.nanoTime());
        if (view != null) {
          views.put(query.node, view);
        }
      }
      return views;
    } finally {
      group.shutdownNow();
    }
  }

  /** The query of one node. */
  private static final class NodeQuery implements CompletionHandler<Integer, ByteBuffer> {
    private final String node;
    private final AsynchronousSocketChannel channel;
    private final NbdHandshake handshake;
    private final ByteBuffer input = ByteBuffer.allocate(Nbd.MAX_OPTION_BYTES + 64);
    private final CompletableFuture<NodeView> holderView = new CompletableFuture<>();

    NodeQuery(AsynchronousChannelGroup group, NodePool.Address node, String client) throws IOException {
      this.node = node.name();
      handshake = NbdHandshake.forHolderQuery(node.export(), client);
      channel = AsynchronousSocketChannel.open(group);
      connect(node.socketAddress());
    }

    private void connect(InetSocketAddress address) {
      try {
        channel.connect(address, null, new CompletionHandler<Void, Void>() {
          @Override
          public void completed(Void done, Void none) {
            channel.read(input, input, NodeQuery.this);
          }

          @Override
          public void failed(Throwable e, Void none) {
            holderView.completeExceptionally(e);
          }
        });
      } catch (RuntimeException e) {
        // The channel throws for an address that did not resolve instead of calling the handler.
        holderView.completeExceptionally(e);
      }
    }

    /** Called when bytes were read, or, with another buffer, sent. */
    @Override
    public void completed(Integer n, ByteBuffer buffer) {
      if (n < 0) {
        holderView.completeExceptionally(new IOException("the node closed the connection"));
      } else if (buffer != input) {
        writeOrRead(buffer);
      } else {
        processInput();
      }
    }

    private void processInput() {
      try {
        input.flip();
        boolean done = handshake.feed(input);
        input.compact();
        ByteBuffer output = handshake.takeOutput();
        if (done) {
          holderView.complete(handshake.holderView());
        }
        writeOrRead(output);
      } catch (NbdHandshake.NegotiationException e) {
        holderView.completeExceptionally(e);
      }
    }

    private void writeOrRead(ByteBuffer output) {
      if (output.hasRemaining()) {
        channel.write(output, output, this);
      } else if (!holderView.isDone()) {
        channel.read(input, input, this);
      }
    }

    @Override
    public void failed(Throwable e, ByteBuffer buffer) {
      holderView.completeExceptionally(e);
    }

    private NodeView awaitResult(long timeoutNs) {
      try {
        return holderView.get(Math.max(0, timeoutNs), TimeUnit.NANOSECONDS);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
        return null;
      } catch (java.util.concurrent.ExecutionException | java.util.concurrent.TimeoutException e) {
        LOG.atWarn()
            .addKeyValue("node", node)
            .addKeyValue("why", e.getCause() == null
                ? "no reply within the timeout"
                : e.getCause().toString())
            .log("node.unasked");
        return null;
      }
    }
  }
}
