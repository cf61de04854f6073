"""The operator raises a limit; kept connections keep the earlier one."""
import asyncio, pathlib, sys
sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2]))
import standins
async def scenario(record, scratch, programs, trouble):
    d=standins.Deployment(record=record,scratch=scratch,programs=programs,kind="non_idempotent")
    conf=d._configuration("non_idempotent"); conf["limits"]={"max_header_bytes":16384,"max_body_bytes":65536,"header_timeout_ms":3000,"idle_timeout_ms":15000}
    d.store.put("config","main",conf); await d.start()
    clients=[]
    async def post(c,n):
        rid=await c.send("POST",d.prefix+"x",host=d.host,deadline_ms=1500,body=b"x"*n); _,st=await c.read(); return st
    for i in range(20):
        c=standins.Client(d.gateways[i%2]); await post(c,1000); clients.append(c)
    conf["version"]=9; conf["limits"]["max_body_bytes"]=4194304 if trouble else 65536
    d.store.put("config","main",conf); await asyncio.sleep(4)
    r=[]
    for c in clients: r.append(await post(c,200000 if trouble else 1000))
    c=standins.Client(d.gateways[0]); print(r,'new conn',await post(c,200000))
    return [f"DENIED {r.count(413)}"] if 413 in r else []
standins.main(scenario,pathlib.Path(__file__).resolve().parent)
